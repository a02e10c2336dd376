package io.pollenpath.coordination.experts;

/**
 * Estimates the load of each expert of one layer from token counts that may be late or incomplete.
 *
 * <p>Each report is normalized by its own total, so missing counts of some ranks add noise but do
 * not change the level. The estimator keeps a fast and a slow exponential moving average. The
 * distance between them shows how quickly the popularity drifts, and so how long a forecast stays
 * valid.
 */
public final class PopularityEstimator {

    private static final double MIN_HORIZON = 1;
    private static final double MAX_HORIZON = 30;
    private static final double HORIZON_SCALE = 1.5;

    private final double fastWeight;
    private final double slowWeight;
    private final double[] fast;
    private final double[] slow;
    private boolean started;

    /**
     * Creates an estimator that has no reports yet.
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
                            + " for the fast and the slow average are not valid; set"
                            + " 0 < slow < fast <= 1");
        }
        this.fastWeight = fastWeight;
        this.slowWeight = slowWeight;
        fast = new double[experts];
        slow = new double[experts];
    }

    /**
     * Updates both averages with the counts of one interval; a report without tokens is ignored.
     *
     * @param counts the reported number of tokens routed to each expert, not null
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
            fast[expert] = started ? blend(fast[expert], share, fastWeight) : share;
            slow[expert] = started ? blend(slow[expert], share, slowWeight) : share;
        }
        started = true;
    }

    private static double blend(double old, double latest, double weight) {
        return old + weight * (latest - old);
    }

    /**
     * Returns the expected load of each expert.
     *
     * @param ranks the number of ranks, which is the sum of the loads
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
     * Returns how many intervals the forecast is expected to stay valid.
     *
     * @return the number of intervals; higher the closer the two averages are
     */
    public double forecastHorizon() {
        double distance = 0;
        for (int expert = 0; expert < fast.length; expert++) {
            distance += Math.abs(fast[expert] - slow[expert]);
        }
        double estimate = distance > 0 ? HORIZON_SCALE / distance : MAX_HORIZON;
        return Math.min(MAX_HORIZON, Math.max(MIN_HORIZON, estimate));
    }
}
