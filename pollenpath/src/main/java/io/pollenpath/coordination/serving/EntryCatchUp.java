package io.pollenpath.coordination.serving;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether an entry that has just started, or was paused, has heard what the other entries
 * know. An entry that can't be reached at the first call is not waited for.
 */
public final class EntryCatchUp {

    /** The longest time that an entry waits for the others, in milliseconds. */
    static final long MAX_WAIT_MS = 1_000;

    /** The time without a sign of life from which a process counts as paused, in milliseconds. */
    static final long MIN_PAUSE_MS = 1_000;

    private final Set<String> others = new HashSet<>();
    private final Set<String> pending = new HashSet<>();
    private long lastTickNanos;
    private long beginNanos;
    private boolean expectsEntries;
    private boolean begun;
    private boolean entriesKnown;
    private int answered;

    /**
     * Creates the state of a process that has just started.
     *
     * @param startNanos the time of the start, in nanoseconds
     */
    public EntryCatchUp(long startNanos) {
        lastTickNanos = startNanos;
    }

    /** Records that this entry is connected to others, without which it waits for nobody. */
    public void expectEntries() {
        expectsEntries = true;
    }

    /**
     * Records that this entry is able to serve, from which on it waits for the others.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onReady(long nowNanos) {
        if (!begun) {
            begun = true;
            beginNanos = nowNanos;
        }
    }

    /**
     * Records the other entries. Those that come after the first ones are not waited for, because
     * they have started later than this one.
     *
     * @param addresses the addresses of the other entries, not null
     */
    public void onEntries(Set<String> addresses) {
        if (!entriesKnown) {
            pending.addAll(addresses);
            entriesKnown = true;
        }
        pending.retainAll(addresses);
        others.clear();
        others.addAll(addresses);
    }

    /**
     * Records the end of a call to another entry.
     *
     * @param address the address of the other entry, not null
     * @param success whether the other entry answered
     * @return whether it was the last one that this entry waited for
     */
    public boolean onCalled(String address, boolean success) {
        boolean waitedFor = pending.remove(address);
        if (waitedFor && success) {
            answered++;
        }
        return waitedFor && pending.isEmpty();
    }

    /**
     * Records that the process runs.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return whether it was paused since the last call, so that the others must be heard again
     */
    public boolean onTick(long nowNanos) {
        boolean paused = isPaused(nowNanos);
        lastTickNanos = nowNanos;
        if (paused && begun) {
            pending.addAll(others);
            beginNanos = nowNanos;
            answered = 0;
        }
        return paused && begun;
    }

    private boolean isPaused(long nowNanos) {
        return nowNanos - lastTickNanos > TimeUnit.MILLISECONDS.toNanos(MIN_PAUSE_MS);
    }

    /**
     * Returns whether this entry may lack what the others know.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true while it waits for the others, or if it was paused until now
     */
    public boolean isBehind(long nowNanos) {
        if (isPaused(nowNanos)) {
            return true;
        }
        boolean waits = expectsEntries && (!entriesKnown || !pending.isEmpty());
        return waits && elapsedMs(nowNanos) < MAX_WAIT_MS;
    }

    /**
     * Returns the number of other entries.
     *
     * @return the number
     */
    public int others() {
        return others.size();
    }

    /**
     * Returns how many of the entries that this one waited for have answered.
     *
     * @return the number
     */
    public int answered() {
        return answered;
    }

    /**
     * Returns the time since this entry began to wait.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the time, in milliseconds; 0 if it is not able to serve yet
     */
    public long elapsedMs(long nowNanos) {
        return begun ? TimeUnit.NANOSECONDS.toMillis(nowNanos - beginNanos) : 0;
    }
}
