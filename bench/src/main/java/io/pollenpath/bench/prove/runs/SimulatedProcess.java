package io.pollenpath.bench.prove.runs;

/** A simulated process that can be killed, restarted and paused. */
class SimulatedProcess {

    /**
     * Identifies one run of a process between start and exit; the number rises with each restart.
     */
    record Incarnation(int number) {}

    final EventQueue events;
    final String name;
    private int incarnationNumber = 1;
    private boolean running = true;
    private long pausedUntilMs;

    SimulatedProcess(EventQueue events, String name) {
        this.events = events;
        this.name = name;
    }

    boolean isRunning() {
        return running;
    }

    Incarnation currentIncarnation() {
        return new Incarnation(incarnationNumber);
    }

    /**
     * Runs an action in this process after a delay. The action is dropped if the process is killed
     * before, and waits while the process is paused.
     */
    void post(long delayMs, Runnable action) {
        Incarnation target = currentIncarnation();
        events.schedule(delayMs, () -> deliver(target, action));
    }

    private void deliver(Incarnation target, Runnable action) {
        if (!running || target.number() != incarnationNumber) {
            return;
        }
        if (events.nowMs() < pausedUntilMs) {
            events.schedule(pausedUntilMs - events.nowMs(), () -> deliver(target, action));
            return;
        }
        action.run();
    }

    /** Pauses the process; its actions wait until it resumes. */
    void pause(long durationMs) {
        pausedUntilMs = Math.max(pausedUntilMs, events.nowMs() + durationMs);
    }

    void kill() {
        running = false;
    }

    void restart() {
        running = true;
        incarnationNumber++;
        pausedUntilMs = 0;
    }
}
