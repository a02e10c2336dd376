package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The votes of one entry on trials of blocked suspects. An entry runs a trial only if a majority of
 * all entries has voted for it, and each entry votes for one claimant of a suspect at a time, so no
 * two entries run the same trial.
 */
public final class TrialVotes {

    /** How long a vote is held for its claimant, in milliseconds. */
    static final long LEASE_MS = 1_000;

    private final long startNanos;
    private final Map<CrashSuspect, Vote> votes = new HashMap<>();

    private record Vote(String claimant, long endNanos) {}

    /**
     * Creates the votes of a process that has just started.
     *
     * @param startNanos the time of the start, in nanoseconds
     */
    public TrialVotes(long startNanos) {
        this.startNanos = startNanos;
    }

    /**
     * Votes on a claim. A process that has run for less than a lease votes for nobody, because the
     * vote of an earlier process in its place may still be held.
     *
     * @param claim the claim, not null
     * @param knownTrials the number of trials of the suspect that this entry knows of
     * @param nowNanos the current time, in nanoseconds
     * @return whether this entry agrees
     */
    public boolean vote(TrialClaim claim, int knownTrials, long nowNanos) {
        votes.values().removeIf(vote -> nowNanos - vote.endNanos() >= 0);
        long leaseNanos = TimeUnit.MILLISECONDS.toNanos(LEASE_MS);
        boolean justStarted = nowNanos - startNanos < leaseNanos;
        boolean outdated = knownTrials > claim.number();
        Vote held = votes.get(claim.suspect());
        boolean taken = held != null && !held.claimant().equals(claim.claimant());
        if (justStarted || outdated || taken) {
            return false;
        }
        votes.put(claim.suspect(), new Vote(claim.claimant(), nowNanos + leaseNanos));
        return true;
    }
}
