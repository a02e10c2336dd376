package io.pollenpath.coordination.group;

import io.pollenpath.state.group.VmCapacity;

/**
 * Paces the calls of a group's leader by the size of the group and by what its VM can do, so that
 * one round of calls is over before the next one is due.
 *
 * @param ranks the ranks that the leader calls, at least 1
 * @param pollPeriodMs the time between two rounds of questions, in milliseconds
 * @param sampledRanks how many ranks are asked how often each expert was chosen
 * @param electionTimeoutMs how long the leader may be silent until another agent tries to lead, in
 *     milliseconds
 */
public record LeaderPolling(
        int ranks, long pollPeriodMs, int sampledRanks, long electionTimeoutMs) {

    private static final long MIN_POLL_PERIOD_MS = 100;
    private static final long MIN_SILENCE_MS = 500;

    /** How many rounds the leader may miss. */
    private static final long SILENT_ROUNDS = 4;

    /** Processor time of the leader for one question and its answer, in milliseconds of a core. */
    private static final double CALL_CPU_MS = 0.35;

    /** The part of the VM's processor time that questions may take. */
    private static final double CPU_PART = 0.4;

    /** The part of the VM's network link that counts may take. */
    private static final double LINK_PART = 0.2;

    /** Fewer ranks than this say too little about the others. */
    private static final int MIN_COUNTED_RANKS = 8;

    /** Checks the components. */
    public LeaderPolling {
        if (ranks < 1 || sampledRanks < 1 || sampledRanks > ranks) {
            throw new IllegalArgumentException(
                    "a leader counts " + sampledRanks + " of " + ranks + " ranks; count 1 or more");
        }
    }

    /**
     * Paces the leader of a group.
     *
     * @param ranks the ranks of the group, at least 1
     * @param counters the numbers in the counts of one rank, of a byte each on the network
     * @param capacity what the VMs of the group give to their agents, not null
     * @return the pace
     */
    public static LeaderPolling of(int ranks, int counters, VmCapacity capacity) {
        double roundCpuMs = ranks * CALL_CPU_MS;
        long periodMs = Math.round(roundCpuMs / (capacity.cores() * CPU_PART));
        periodMs = Math.max(MIN_POLL_PERIOD_MS, periodMs);
        double roundBytes = capacity.linkBytesPerSecond() * LINK_PART * periodMs / 1_000;
        int counted = (int) Math.min(ranks, roundBytes / Math.max(1, counters));
        counted = Math.min(ranks, Math.max(MIN_COUNTED_RANKS, counted));
        long silenceMs = Math.max(MIN_SILENCE_MS, SILENT_ROUNDS * periodMs);
        return new LeaderPolling(ranks, periodMs, counted, silenceMs);
    }

    /**
     * Tells whether a rank is among those whose counts are asked for. They are spread evenly, and
     * the same ones each time, since growth is known only between two questions.
     *
     * @param rank the rank, from 0
     * @return true if its counts are asked for
     */
    public boolean isSampled(int rank) {
        return (rank + 1L) * sampledRanks / ranks > (long) rank * sampledRanks / ranks;
    }
}
