package io.pollenpath.coordination.limits;

/** Gives each live entry the same part; needs no exchange between entries. */
public final class EqualAllowance implements AllowancePolicy {

    @Override
    public double fraction(Demand demand) {
        return 1.0 / demand.liveEntries();
    }
}
