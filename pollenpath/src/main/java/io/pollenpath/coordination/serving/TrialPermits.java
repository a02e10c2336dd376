package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** The trials of blocked suspects that one entry has asked all entries to agree to. */
public final class TrialPermits {

    /**
     * The time from the question to the end of its permit, in milliseconds. It is shorter than the
     * lease of the votes, so that a permit ends before another entry can get one.
     */
    static final long PERMIT_MS = 700;

    /** The shortest time from a refusal to the next question, in milliseconds. */
    static final long MIN_BACKOFF_MS = 1_000;

    /** The longest time from the first refusal to the next question, in milliseconds. */
    static final long MAX_BACKOFF_MS = 4_000;

    /** How often that time doubles, so that questions of many entries find a majority in turn. */
    private static final int MAX_DOUBLINGS = 5;

    private static final int MAX_REFUSED_SUSPECTS = 1_024;

    private final Map<CrashSuspect, Permit> permits = new HashMap<>();
    private final Map<CrashSuspect, Integer> refusals = newBoundedMap();
    private final RandomGenerator random;

    /** The state of the permit for one trial. */
    public enum State {
        /** The other entries have not been asked. */
        NONE,
        /** They have been asked. */
        ASKED,
        /** A majority agrees. */
        GRANTED,
        /** There was no majority; ask again later. */
        REFUSED
    }

    /**
     * Returns whether a trial may still start, after the other entries were told of it.
     *
     * @param recordedNanos the time at which it was recorded, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     * @return false if this process was delayed for too long
     */
    public static boolean isInTime(long recordedNanos, long nowNanos) {
        return nowNanos - recordedNanos < TimeUnit.MILLISECONDS.toNanos(PERMIT_MS);
    }

    private record Permit(int number, State state, long endNanos) {}

    /**
     * Creates the permits of an entry that has asked for none.
     *
     * @param random the source of random delays, which keep two claimants from asking at the same
     *     moments again, not null
     */
    public TrialPermits(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the state of the permit for a trial.
     *
     * @param suspect the suspect, not null
     * @param number the number of earlier trials of the suspect
     * @param nowNanos the current time, in nanoseconds
     * @return the state
     */
    public State state(CrashSuspect suspect, int number, long nowNanos) {
        permits.values().removeIf(permit -> nowNanos - permit.endNanos() >= 0);
        Permit permit = permits.get(suspect);
        return permit == null || permit.number() != number ? State.NONE : permit.state();
    }

    /**
     * Returns the time until the state of a permit ends, or a shorter one if it takes long: another
     * entry may get the trial meanwhile, and its answer frees the suspect for all.
     *
     * @param suspect the suspect, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the time, in milliseconds; 0 if there is no permit
     */
    public long retryAfterMs(CrashSuspect suspect, long nowNanos) {
        Permit permit = permits.get(suspect);
        if (permit == null) {
            return 0;
        }
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(permit.endNanos() - nowNanos);
        return Math.max(0, Math.min(MAX_BACKOFF_MS, remainingMs));
    }

    /**
     * Records that the other entries are asked.
     *
     * @param suspect the suspect, not null
     * @param number the number of earlier trials of the suspect
     * @param nowNanos the current time, in nanoseconds
     */
    public void onAsked(CrashSuspect suspect, int number, long nowNanos) {
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(PERMIT_MS);
        permits.put(suspect, new Permit(number, State.ASKED, endNanos));
    }

    /**
     * Records the result of the vote. One that comes after the permit would have ended is ignored.
     *
     * @param suspect the suspect, not null
     * @param number the number of earlier trials that was asked about
     * @param agreed whether a majority agrees
     * @param nowNanos the current time, in nanoseconds
     */
    public void onResult(CrashSuspect suspect, int number, boolean agreed, long nowNanos) {
        if (state(suspect, number, nowNanos) != State.ASKED) {
            return;
        }
        long askedEndNanos = permits.get(suspect).endNanos();
        if (agreed) {
            refusals.remove(suspect);
            permits.put(suspect, new Permit(number, State.GRANTED, askedEndNanos));
            return;
        }
        long backoffNanos = TimeUnit.MILLISECONDS.toNanos(nextBackoffMs(suspect));
        permits.put(suspect, new Permit(number, State.REFUSED, nowNanos + backoffNanos));
    }

    private long nextBackoffMs(CrashSuspect suspect) {
        int doublings = Math.min(MAX_DOUBLINGS, refusals.merge(suspect, 1, Integer::sum) - 1);
        return random.nextLong(MIN_BACKOFF_MS, MAX_BACKOFF_MS << doublings);
    }

    private static Map<CrashSuspect, Integer> newBoundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<CrashSuspect, Integer> eldest) {
                return size() > MAX_REFUSED_SUSPECTS;
            }
        };
    }
}
