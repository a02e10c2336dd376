package io.pollenpath.coordination.limits;

/** Decides which part of a customer's limits one entry may use. */
public interface AllowancePolicy {

    /**
     * Computes the part of one entry.
     *
     * @param demand what the entry knows of the demand, not null
     * @return the part, above 0 and at most 1
     */
    double fraction(Demand demand);
}
