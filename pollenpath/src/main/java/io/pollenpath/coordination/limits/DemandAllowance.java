package io.pollenpath.coordination.limits;

/**
 * Gives each live entry a small equal part and divides the rest by demand. The equal part lets an
 * entry serve the first requests of a customer before its demand is known elsewhere.
 */
public final class DemandAllowance implements AllowancePolicy {

    private static final double EQUAL_PART = 0.1;

    @Override
    public double fraction(Demand demand) {
        double equal = 1.0 / demand.liveEntries();
        if (demand.totalPerSecond() <= 0) {
            return equal;
        }
        double byDemand = Math.min(1, demand.ownPerSecond() / demand.totalPerSecond());
        return EQUAL_PART * equal + (1 - EQUAL_PART) * byDemand;
    }
}
