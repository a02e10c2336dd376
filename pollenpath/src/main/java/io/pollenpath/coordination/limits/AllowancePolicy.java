package io.pollenpath.coordination.limits;

/** Divides a customer's limits among the entries. */
public interface AllowancePolicy {

    /**
     * Computes the fraction of the limits that one entry may use.
     *
     * @param demand the customer's demand as this entry last knew it, not null
     * @return the fraction, above 0 and at most 1
     */
    double fraction(Demand demand);
}
