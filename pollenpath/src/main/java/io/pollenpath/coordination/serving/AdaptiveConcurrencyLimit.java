package io.pollenpath.coordination.serving;

/**
 * Limits the streams that one entry has on a service from the pauses between their events.
 *
 * <p>All engines of a rank group step together, so every entry sees the same pass time, and what is
 * above the time of an empty pass grows with the streams of all entries. Each entry therefore
 * scales its own streams by the room that is left to the longest pause that is on time. With a
 * common signal the entries settle without exchange; a floor lets one that has few streams grow.
 */
public final class AdaptiveConcurrencyLimit {

    /** The part of the longest on-time pause that the mean pause is held to. */
    static final double TARGET_PART = 0.7;

    /** The part of an equal share of all slots that an entry may always use. */
    static final double FLOOR_PART = 0.25;

    private static final double GAP_WEIGHT = 0.08;
    private static final double MAX_GAP_OBJECTIVES = 3;
    private static final double MIN_ROOM_MS = 1;

    private final double emptyPassMs;
    private double meanGapMs;
    private double limit = Double.POSITIVE_INFINITY;

    /**
     * Creates a limit that admits all streams until the first pause is seen.
     *
     * @param emptyPassMs the time of a pass without streams, in milliseconds
     */
    public AdaptiveConcurrencyLimit(double emptyPassMs) {
        this.emptyPassMs = emptyPassMs;
    }

    /**
     * Takes the pause between two events of a stream.
     *
     * @param gapMs the pause, in milliseconds
     * @param objectiveMs the longest pause that is on time, in milliseconds; 0 for none
     * @param inFlight the streams of this entry on the service
     */
    public void onGap(double gapMs, double objectiveMs, int inFlight) {
        if (objectiveMs <= 0) {
            return;
        }
        double capped = Math.min(gapMs, MAX_GAP_OBJECTIVES * objectiveMs);
        meanGapMs = meanGapMs == 0 ? capped : meanGapMs + GAP_WEIGHT * (capped - meanGapMs);
        double room = Math.max(MIN_ROOM_MS, TARGET_PART * objectiveMs - emptyPassMs);
        double used = Math.max(MIN_ROOM_MS, meanGapMs - emptyPassMs);
        limit = inFlight * room / used;
    }

    /**
     * Tells whether one more stream may be sent.
     *
     * @param inFlight the streams of this entry on the service
     * @param equalShare an equal share of all slots among the entries
     * @return true below the limit, and always below the floor
     */
    public boolean admits(int inFlight, double equalShare) {
        return inFlight < Math.max(limit, FLOOR_PART * equalShare);
    }

    /**
     * Returns the mean pause between events.
     *
     * @return the pause, in milliseconds; 0 before any event
     */
    public double meanGapMs() {
        return meanGapMs;
    }
}
