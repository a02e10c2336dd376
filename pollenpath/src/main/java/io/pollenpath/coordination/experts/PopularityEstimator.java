package io.pollenpath.coordination.experts;

/**
 * Estimates the load of each expert of one layer from counts that come late and with losses.
 *
 * <p>Each report is scaled to its own total, so a lost report of some ranks changes the noise but
 * not the level. A fast and a slow average are kept; their distance tells how quickly the
 * popularity drifts, and so how long a forecast holds.
 */
public final class PopularityEstimator {

    private static final double MIN_PERSISTENCE = 1;
    private static final double MAX_PERSISTENCE = 30;
    private static final double PERSISTENCE_SCALE = 1.5;

    private final double fastWeight;
    private final double slowWeight;
    private final double[] fast;
    private final double[] slow;
    private boolean started;

    /**
     * Creates an estimator without reports.
     *
     * @param experts the number of experts, at least 1
     * @param fastWeight the weight of a new report in the fast average, above 0, at most 1
     * @param slowWeight the weight of a new report in the slow average, below the fast one
     */
    public PopularityEstimator(int experts, double fastWeight, double slowWeight) {
        if (!(slowWeight > 0 && slowWeight < fastWeight && fastWeight <= 1)) {
            throw new IllegalArgumentException(
                    "weights "
                            + fastWeight
                            + " and "
                            + slowWeight
                            + " are not valid; set"
                            + " 0 < slow < fast <= 1");
        }
        this.fastWeight = fastWeight;
        this.slowWeight = slowWeight;
        fast = new double[experts];
        slow = new double[experts];
    }

    /**
     * Takes the counts of one interval; a report without any token is ignored.
     *
     * @param counts the tokens routed to each expert, as far as they were reported, not null
     */
    public void report(long[] counts) {
        double total = 0;
        for (long count : counts) {
            total += count;
        }
        if (total <= 0) {
            return;
        }
        for (int expert = 0; expert < fast.length; expert++) {
            double share = counts[expert] / total;
            fast[expert] = started ? mix(fast[expert], share, fastWeight) : share;
            slow[expert] = started ? mix(slow[expert], share, slowWeight) : share;
        }
        started = true;
    }

    private static double mix(double old, double latest, double weight) {
        return old + weight * (latest - old);
    }

    /**
     * Returns the expected load of each expert.
     *
     * @param ranks the number of ranks, to which the loads add up
     * @return a new array; equal loads before the first report
     */
    public double[] forecast(int ranks) {
        double[] forecast = new double[fast.length];
        for (int expert = 0; expert < fast.length; expert++) {
            double share = started ? fast[expert] : 1.0 / fast.length;
            forecast[expert] = share * ranks;
        }
        return forecast;
    }

    /**
     * Returns how many intervals the forecast is expected to hold.
     *
     * @return the number of intervals, longer the closer the two averages are
     */
    public double forecastHorizon() {
        double distance = 0;
        for (int expert = 0; expert < fast.length; expert++) {
            distance += Math.abs(fast[expert] - slow[expert]);
        }
        double estimate = distance > 0 ? PERSISTENCE_SCALE / distance : MAX_PERSISTENCE;
        return Math.min(MAX_PERSISTENCE, Math.max(MIN_PERSISTENCE, estimate));
    }
}
