package io.pollenpath.coordination.limits;

/**
 * Gives each live entry a small equal fraction and divides the rest in proportion to demand. The
 * equal fraction lets an entry serve a customer's first requests before the other entries know of
 * that demand.
 */
public final class DemandAllowance implements AllowancePolicy {

    private static final double EQUAL_FRACTION = 0.1;

    @Override
    public double fraction(Demand demand) {
        double equalFraction = 1.0 / demand.liveEntries();
        if (demand.totalPerSecond() <= 0) {
            return equalFraction;
        }
        double demandFraction = Math.min(1, demand.ownPerSecond() / demand.totalPerSecond());
        return EQUAL_FRACTION * equalFraction + (1 - EQUAL_FRACTION) * demandFraction;
    }
}
