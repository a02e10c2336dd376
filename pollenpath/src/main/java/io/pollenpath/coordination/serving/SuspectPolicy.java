package io.pollenpath.coordination.serving;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a request with a suspect of crashes may be sent.
 *
 * <p>A suspect that was in flight on several servers when they crashed is blocked, and stays so
 * until an answer clears it, whatever else explains these crashes. It gets a few trials at growing
 * delays, because servers may also have crashed under it for another reason. The delays are short
 * if another suspect explains the crashes, and long if it is the only explanation of the crashes of
 * the service, because each further crash costs others their requests. The likely causes of the
 * crashes of one service share all trials but the first of each, since they take the same servers
 * from the others. The first is not shared, so that no cause keeps a good request out for long.
 */
public final class SuspectPolicy {

    /** The largest number of trials of one suspect. */
    static final int MAX_TRIALS = 3;

    /**
     * The time from the latest crash or trial to the next trial if another suspect explains the
     * crashes, in milliseconds.
     */
    private static final long[] EXPLAINED_DELAYS_MS = {0, 2_500, 30_000};

    /** The same time if there may be another cause, in milliseconds. */
    private static final long[] CONTESTED_DELAYS_MS = {1_000, 2_500, 30_000};

    /** The same time if the suspect is the only or the likely cause, in milliseconds. */
    private static final long[] SOLE_CAUSE_DELAYS_MS = {5_000, 60_000, 120_000};

    /** How long a caller is told to wait when no trial is left, in milliseconds. */
    static final long BLOCKED_RETRY_AFTER_MS = 60_000;

    /** How long a caller is told to wait for the check of a server, in milliseconds. */
    static final long CHECK_RETRY_AFTER_MS = 500;

    /** How long a caller is told to wait while a service recovers, in milliseconds. */
    public static final long RECOVERY_RETRY_AFTER_MS = 500;

    /** The verdict on a request without suspicion. */
    public static final Verdict SEND = new Verdict(Decision.SEND, 0);

    /** The verdict on a blocked request whose trial is due. */
    public static final Verdict TRIAL = new Verdict(Decision.TRIAL, 0);

    /** The verdict on a blocked request to whose trial the other entries have not agreed yet. */
    public static final Verdict AWAIT_PERMIT = new Verdict(Decision.AWAIT_PERMIT, 0);

    private SuspectPolicy() {}

    /** What to do with a request, the least strict first. */
    public enum Decision {
        /** Send it as usual. */
        SEND,
        /** Send it to one server, as a trial. */
        TRIAL,
        /** Keep it until the other entries have agreed to a trial. */
        AWAIT_PERMIT,
        /** Refuse it without sending it. */
        REFUSE
    }

    /**
     * A decision.
     *
     * @param decision what to do with the request
     * @param retryAfterMs when the caller may come back if it is refused, in milliseconds
     */
    public record Verdict(Decision decision, long retryAfterMs) {

        /**
         * Returns whether the request is refused.
         *
         * @return true if it must not be sent
         */
        public boolean isRefused() {
            return decision == Decision.REFUSE;
        }

        /**
         * Returns whether the request may be sent now.
         *
         * @return true if it is sent as usual or as a trial
         */
        public boolean maySend() {
            return decision == Decision.SEND || decision == Decision.TRIAL;
        }

        /**
         * Returns the stricter of two verdicts.
         *
         * @param other the other verdict, not null
         * @return the one that delays the request more
         */
        public Verdict stricter(Verdict other) {
            int byDecision = decision.compareTo(other.decision);
            boolean stricter =
                    byDecision > 0 || (byDecision == 0 && retryAfterMs >= other.retryAfterMs);
            return stricter ? this : other;
        }
    }

    /**
     * Decides about one send of a request.
     *
     * @param suspicion the suspicion against a suspect of the request, not null
     * @param unconfirmedCrashes the number of servers that broke a connection under the suspect and
     *     are being checked
     * @param nowNanos the current time, in nanoseconds
     * @return the decision
     */
    public static Verdict decide(
            CrashHistory.Suspicion suspicion, int unconfirmedCrashes, long nowNanos) {
        if (!suspicion.isBlocked(unconfirmedCrashes)) {
            return SEND;
        }
        if (unconfirmedCrashes > 0) {
            return refuse(CHECK_RETRY_AFTER_MS);
        }
        if (suspicion.trials() >= MAX_TRIALS) {
            return refuse(BLOCKED_RETRY_AFTER_MS);
        }
        boolean sharesTrials = suspicion.isLikelyCause() && suspicion.trials() > 0;
        if (sharesTrials && suspicion.serviceTrials() >= MAX_TRIALS) {
            return refuse(BLOCKED_RETRY_AFTER_MS);
        }
        long sinceMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - suspicion.lastEventNanos());
        long remainingMs = delayMs(suspicion) - sinceMs;
        return remainingMs <= 0 ? TRIAL : refuse(remainingMs);
    }

    /**
     * Returns whether a trial that has been recorded may run. Several entries may have recorded
     * trials of likely causes of one service at the same moment.
     *
     * @param suspicion the suspicion against the suspect on trial, this trial included, not null
     * @return false if there are too many
     */
    public static boolean isWithinLimit(CrashHistory.Suspicion suspicion) {
        boolean sharesTrials = suspicion.isLikelyCause() && suspicion.trials() > 1;
        return !sharesTrials || suspicion.serviceTrials() <= MAX_TRIALS;
    }

    /**
     * Returns the verdict that refuses a request.
     *
     * @param retryAfterMs when the caller may come back, in milliseconds
     * @return the verdict
     */
    public static Verdict refuse(long retryAfterMs) {
        return new Verdict(Decision.REFUSE, retryAfterMs);
    }

    private static long delayMs(CrashHistory.Suspicion suspicion) {
        int trials = suspicion.trials();
        if (suspicion.isLikelyCause()) {
            int counted = trials == 0 ? 0 : Math.max(trials, suspicion.serviceTrials());
            return SOLE_CAUSE_DELAYS_MS[counted];
        }
        return delaysMs(suspicion)[trials];
    }

    private static long[] delaysMs(CrashHistory.Suspicion suspicion) {
        if (suspicion.crashes() < suspicion.blockingCrashes()) {
            return EXPLAINED_DELAYS_MS;
        }
        return suspicion.contested() ? CONTESTED_DELAYS_MS : SOLE_CAUSE_DELAYS_MS;
    }
}
