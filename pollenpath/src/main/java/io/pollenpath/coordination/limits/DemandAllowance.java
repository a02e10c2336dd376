package io.pollenpath.coordination.limits;

/**
 * Gives each live entry a small equal fraction and divides the rest in proportion to demand. The
 * equal fraction lets an entry serve a customer's first requests before the other entries know of
 * that demand.
 */
public final class DemandAllowance implements AllowancePolicy {

    private static final double EQUAL_PART = 0.1;

    @Override
    public double part(Demand demand) {
        double equal = 1.0 / demand.liveEntries();
        if (demand.totalPerSecond() <= 0) {
            return equal;
        }
        double byDemand = Math.min(1, demand.ownPerSecond() / demand.totalPerSecond());
        return EQUAL_PART * equal + (1 - EQUAL_PART) * byDemand;
    }
}
