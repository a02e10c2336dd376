package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an agent tries to become the leader of its group: after an election timeout without
 * contact from any leader. The timeout grows with the rank, so that the agents of a group do not
 * all claim the lease at the same time. Thread-safe.
 */
public final class LeaderElection {

    /** How much of the election timeout counts as elapsed at startup, in milliseconds. */
    private static final long STARTUP_CREDIT_MS = 200;

    /** Added to the election timeout for each of the first ranks, in milliseconds. */
    private static final long LOW_RANK_STAGGER_MS = 80;

    private static final int LOW_RANKS = 8;

    /**
     * Added for each rank after the first ones, in milliseconds. Shorter, because these ranks claim
     * the lease only if all of the first ones are unreachable.
     */
    private static final long HIGH_RANK_STAGGER_MS = 20;

    private static final long ELECTION_BACKOFF_MS = 400;

    private long lastContactNanos;
    private long nextClaimNanos;
    private long highestToken;

    /**
     * Creates the election state of an agent that starts now.
     *
     * @param nowNanos the current time
     */
    public LeaderElection(long nowNanos) {
        lastContactNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(STARTUP_CREDIT_MS);
        nextClaimNanos = nowNanos;
    }

    /**
     * Handles a call from a leader; a call with the highest token so far restarts the election
     * timeout.
     *
     * @param token the fencing token of the leader
     * @param nowNanos the current time
     * @return false if a leader with a higher token has already called
     */
    public synchronized boolean onLeaderCall(long token, long nowNanos) {
        if (token < highestToken) {
            return false;
        }
        highestToken = token;
        lastContactNanos = nowNanos;
        return true;
    }

    /**
     * Shortens the silence of the leader to the one that another agent reports. It is never
     * restarted by that: agents that ask each other would keep a leader alive that is gone.
     *
     * @param contactAgeMs the time since the leader contacted the other agent, in milliseconds
     * @param nowNanos the current time
     */
    public synchronized void onLeaderSeenByPeer(long contactAgeMs, long nowNanos) {
        long contactNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(contactAgeMs);
        if (contactNanos - lastContactNanos > 0) {
            lastContactNanos = contactNanos;
        }
    }

    /**
     * Decides whether to claim the lease now. Each {@code true} starts the backoff before the next
     * claim.
     *
     * @param rank the rank of the engine on the VM of this agent
     * @param electionTimeoutMs the election timeout of rank 0, in milliseconds
     * @param nowNanos the current time
     * @return true if this agent should claim the lease
     */
    public synchronized boolean shouldClaimLease(int rank, long electionTimeoutMs, long nowNanos) {
        boolean timedOut = leaderSilenceMs(nowNanos) >= electionTimeoutMs + staggerMs(rank);
        if (!timedOut || nowNanos - nextClaimNanos < 0) {
            return false;
        }
        nextClaimNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ELECTION_BACKOFF_MS);
        return true;
    }

    private static long staggerMs(int rank) {
        int highRanks = Math.max(0, rank - LOW_RANKS);
        return LOW_RANK_STAGGER_MS * (rank - highRanks) + HIGH_RANK_STAGGER_MS * highRanks;
    }

    /**
     * Returns the time since the last contact with a leader.
     *
     * @param nowNanos the current time
     * @return the time, in milliseconds; since shortly before startup if there was no contact yet
     */
    public synchronized long leaderSilenceMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - lastContactNanos);
    }

    /**
     * Returns the highest fencing token of the leaders that have called.
     *
     * @return the token; 0 if no leader has called
     */
    public synchronized long highestToken() {
        return highestToken;
    }
}
