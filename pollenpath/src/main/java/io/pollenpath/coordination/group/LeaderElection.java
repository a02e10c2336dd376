package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an agent tries to become the leader of its group: once no leader has been heard for
 * a while, which is longer for higher ranks, so that they do not all try at once.
 */
public final class LeaderElection {

    /** How much sooner an agent that has just started may try, in milliseconds. */
    private static final long START_LEAD_MS = 200;

    /** How much longer each of the first ranks waits than the one before it, in milliseconds. */
    private static final long STAGGER_MS = 80;

    private static final int STAGGERED_RANKS = 8;

    /** The same for the ranks after them, which try only if all of the first are gone. */
    private static final long LATE_STAGGER_MS = 20;

    private static final long RETRY_MS = 400;

    private long heardNanos;
    private long nextTryNanos;
    private long highestToken;

    /**
     * Creates the state of an agent that starts now.
     *
     * @param nowNanos the present time
     */
    public LeaderElection(long nowNanos) {
        heardNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(START_LEAD_MS);
        nextTryNanos = nowNanos;
    }

    /**
     * Takes a call of a leader.
     *
     * @param token its fencing token
     * @param nowNanos the present time
     * @return false if a leader with a higher token has been heard before
     */
    public boolean onLeaderCall(long token, long nowNanos) {
        if (token < highestToken) {
            return false;
        }
        highestToken = token;
        heardNanos = nowNanos;
        return true;
    }

    /**
     * Takes word from another agent that it has heard a leader.
     *
     * @param nowNanos the present time
     */
    public void onLeaderSeenByPeer(long nowNanos) {
        heardNanos = nowNanos;
    }

    /**
     * Decides whether to try now; each yes puts the next try off.
     *
     * @param rank the rank of the engine beside this agent
     * @param silenceMs how long a leader may be silent, in milliseconds
     * @param nowNanos the present time
     * @return true if this agent should claim the lease
     */
    public boolean shouldClaimLease(int rank, long silenceMs, long nowNanos) {
        boolean silent = leaderSilenceMs(nowNanos) >= silenceMs + staggerMs(rank);
        if (!silent || nowNanos - nextTryNanos < 0) {
            return false;
        }
        nextTryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(RETRY_MS);
        return true;
    }

    private static long staggerMs(int rank) {
        int late = Math.max(0, rank - STAGGERED_RANKS);
        return STAGGER_MS * (rank - late) + LATE_STAGGER_MS * late;
    }

    /**
     * Returns how long no leader was heard.
     *
     * @param nowNanos the present time
     * @return the time, in milliseconds; since the start if none ever was
     */
    public long leaderSilenceMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - heardNanos);
    }

    /**
     * Returns the highest token heard.
     *
     * @return the token; 0 if no leader was heard
     */
    public long highestToken() {
        return highestToken;
    }
}
