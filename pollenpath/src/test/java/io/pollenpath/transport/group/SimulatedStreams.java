package io.pollenpath.transport.group;

/**
 * The streams of the callers of a group at a constant load: how long a pass of all engines lasts,
 * and how many events reach their callers without too long a pause.
 */
final class SimulatedStreams {

    private static final double EVENTS_PER_SECOND_AND_RANK = 54.6;
    private static final int SLOTS = 7;
    private static final int STEPS_PER_PASS = 5;
    private static final double STEP_MS = 4.55;
    private static final double STEP_MS_PER_STREAM = 1.09;
    private static final double EXPERT_FRACTION = 0.85;

    /** Longest pause between two events of a stream that is on time, in milliseconds. */
    private static final double PAUSE_OBJECTIVE_MS = 150;

    private double eventsOnTime;
    private double eventsOwed;

    /**
     * Returns the length of a pass in milliseconds, with as many streams on each engine as the load
     * needs, or all slots taken where the engines cannot keep up.
     */
    static double passMs(double imbalance) {
        double slowdown = 1 - EXPERT_FRACTION + EXPERT_FRACTION * imbalance;
        double eventsPerMs = EVENTS_PER_SECOND_AND_RANK / 1_000 * slowdown * STEPS_PER_PASS;
        double spare = 1 - eventsPerMs * STEP_MS_PER_STREAM;
        double streams = spare <= 0 ? SLOTS : Math.min(SLOTS, eventsPerMs * STEP_MS / spare);
        return slowdown * STEPS_PER_PASS * (STEP_MS + STEP_MS_PER_STREAM * streams);
    }

    /** Records a pass with the pause before it. */
    void onPass(double pauseMs, double imbalance) {
        double owed = EVENTS_PER_SECOND_AND_RANK * pauseMs / 1_000;
        eventsOwed += owed;
        if (Math.max(pauseMs, passMs(imbalance)) <= PAUSE_OBJECTIVE_MS) {
            eventsOnTime += Math.min(owed, SLOTS);
        }
    }

    /** Returns the fraction of the events that callers were owed and got on time. */
    double onTimeFraction() {
        return eventsOwed == 0 ? 1 : eventsOnTime / eventsOwed;
    }
}
