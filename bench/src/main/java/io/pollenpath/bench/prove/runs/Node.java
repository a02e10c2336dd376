package io.pollenpath.bench.prove.runs;

/** A simulated process that can be killed, restarted and paused. */
class Node {

    /** One run of a process between start and exit; differs after each restart. */
    record Life(int number) {}

    final EventList events;
    final String name;
    private int life = 1;
    private boolean alive = true;
    private long frozenUntilMs;

    Node(EventList events, String name) {
        this.events = events;
        this.name = name;
    }

    boolean isAlive() {
        return alive;
    }

    Life life() {
        return new Life(life);
    }

    /**
     * Runs an action in this process after a delay. The action is dropped if the process is killed
     * before, and waits while the process is paused.
     */
    void post(long delayMs, Runnable action) {
        Life target = life();
        events.after(delayMs, () -> deliver(target, action));
    }

    private void deliver(Life target, Runnable action) {
        if (!alive || target.number() != life) {
            return;
        }
        if (events.nowMs() < frozenUntilMs) {
            events.after(frozenUntilMs - events.nowMs(), () -> deliver(target, action));
            return;
        }
        action.run();
    }

    /** Pauses the process; its actions wait until it resumes. */
    void freeze(long durationMs) {
        frozenUntilMs = Math.max(frozenUntilMs, events.nowMs() + durationMs);
    }

    void kill() {
        alive = false;
    }

    void restart() {
        alive = true;
        life++;
        frozenUntilMs = 0;
    }
}
