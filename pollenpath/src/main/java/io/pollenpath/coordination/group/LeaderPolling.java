package io.pollenpath.coordination.group;

import io.pollenpath.state.group.VmCapacity;

/**
 * Poll rates of a group's leader. They follow the size of the group and the capacity of the VM, so
 * that one round of polls finishes before the next one is due.
 *
 * @param ranks the number of ranks that the leader polls, at least 1
 * @param pollPeriodMs the time between the starts of two rounds, in milliseconds
 * @param sampledRanks the number of ranks that are also polled for the counts of selected experts
 * @param electionTimeoutMs the election timeout: the time without contact from the leader after
 *     which another agent claims the lease, in milliseconds
 */
public record LeaderPolling(
        int ranks, long pollPeriodMs, int sampledRanks, long electionTimeoutMs) {

    private static final long MIN_POLL_PERIOD_MS = 50;

    /** Poll period down to which a leader may make more than {@link #MAX_FAST_POLLS_PER_S}. */
    private static final long FAST_POLL_PERIOD_MS = 100;

    /** Maximum number of polls a second with a poll period below the one above. */
    private static final double MAX_FAST_POLLS_PER_S = 320;

    private static final long MIN_ELECTION_TIMEOUT_MS = 500;

    /** Rounds from one poll to the next of a rank without counts while the group is settled. */
    private static final int SETTLED_ROUNDS = 2;

    /** Minimum number of rounds in an election timeout; at least two polls of each rank. */
    private static final long ELECTION_TIMEOUT_ROUNDS = 4;

    /** CPU time of the leader for one poll and its answer, in milliseconds of one core. */
    private static final double POLL_CPU_MS = 0.35;

    /** Fraction of the VM's CPU time that polls may use. */
    private static final double CPU_FRACTION = 0.4;

    /** Fraction of the VM's network bandwidth that counts may use. */
    private static final double LINK_FRACTION = 0.2;

    /** The counts of fewer ranks do not represent the group. */
    private static final int MIN_SAMPLED_RANKS = 8;

    /** Checks the components. */
    public LeaderPolling {
        if (ranks < 1 || sampledRanks < 1 || sampledRanks > ranks) {
            throw new IllegalArgumentException(
                    "cannot poll "
                            + sampledRanks
                            + " of "
                            + ranks
                            + " ranks for counts; set a number from 1 to the number of ranks");
        }
    }

    /**
     * Derives the poll rates of the leader of a group.
     *
     * @param ranks the number of ranks of the group, at least 1
     * @param counters the number of counters of one rank, one byte each on the network
     * @param capacity the capacity that each VM of the group gives to its agent, not null
     * @return the poll rates
     */
    public static LeaderPolling of(int ranks, int counters, VmCapacity capacity) {
        double roundCpuMs = ranks * POLL_CPU_MS;
        long periodMs = Math.round(roundCpuMs / (capacity.cores() * CPU_FRACTION));
        periodMs = Math.max(minPeriodMs(ranks), periodMs);
        double roundBytes = capacity.linkBytesPerSecond() * LINK_FRACTION * periodMs / 1_000;
        int sampled = (int) Math.min(ranks, roundBytes / Math.max(1, counters));
        sampled = Math.min(ranks, Math.max(MIN_SAMPLED_RANKS, sampled));
        long electionTimeoutMs =
                Math.max(MIN_ELECTION_TIMEOUT_MS, ELECTION_TIMEOUT_ROUNDS * periodMs);
        return new LeaderPolling(ranks, periodMs, sampled, electionTimeoutMs);
    }

    private static long minPeriodMs(int ranks) {
        long fewPollsMs = Math.round(1_000 * ranks / MAX_FAST_POLLS_PER_S);
        return Math.max(MIN_POLL_PERIOD_MS, Math.min(FAST_POLL_PERIOD_MS, fewPollsMs));
    }

    /**
     * Returns whether a rank is polled in a round while the group is settled. Ranks that are polled
     * for their counts are polled in each round, the others in every second one.
     *
     * @param rank the rank, from 0
     * @param round the number of the round
     * @return true if it is polled
     */
    public boolean isPolledWhenSettled(int rank, long round) {
        return isSampled(rank) || (rank + round) % SETTLED_ROUNDS == 0;
    }

    /**
     * Returns whether a rank is polled for its counts. These ranks are evenly distributed over the
     * group. They stay the same, because an increase is known only between two polls of one rank.
     *
     * @param rank the rank, from 0
     * @return true if it is polled for its counts
     */
    public boolean isSampled(int rank) {
        return (rank + 1L) * sampledRanks / ranks > (long) rank * sampledRanks / ranks;
    }
}
