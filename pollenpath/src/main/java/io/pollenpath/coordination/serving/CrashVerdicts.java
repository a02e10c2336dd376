package io.pollenpath.coordination.serving;

import io.pollenpath.coordination.serving.SuspectPolicy.Decision;
import io.pollenpath.state.serving.CrashSuspect;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Decides whether requests may be sent, by all that they hold and that may have crashed servers.
 * Whether the other entries agree to a trial is not asked here.
 */
public final class CrashVerdicts {

    private final CrashHistory history;
    private final ToIntFunction<CrashSuspect> unconfirmedCrashes;
    private final ServiceRecoveries recoveries = new ServiceRecoveries();
    private final TrialCandidates candidates;

    /**
     * Creates verdicts of an entry that has seen no request.
     *
     * @param history the crashes, not null
     * @param unconfirmedCrashes returns the number of servers that broke a connection under a
     *     suspect and are being checked, not null
     */
    public CrashVerdicts(CrashHistory history, ToIntFunction<CrashSuspect> unconfirmedCrashes) {
        this.history = history;
        this.unconfirmedCrashes = unconfirmedCrashes;
        candidates = new TrialCandidates(s -> history.suspicion(s).inFlightCrashes());
    }

    /**
     * Records that a server of a service is at work on an answer.
     *
     * @param service the service, not null
     * @param sentNanos the time at which the request was sent to the server, in nanoseconds
     */
    public void onAnswer(String service, long sentNanos) {
        recoveries.onAnswer(service, sentNanos);
    }

    /**
     * Decides about one send of a request.
     *
     * @param service the service that it is for, not null
     * @param suspects all that it holds and that may crash servers, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the decision; a trial if it is due for each blocked suspect, and the request is the
     *     best one for those that other requests share
     */
    public SuspectPolicy.Verdict decide(
            String service, List<CrashSuspect> suspects, long nowNanos) {
        SuspectPolicy.Verdict verdict = SuspectPolicy.SEND;
        List<CrashSuspect> sharedBlocked = new ArrayList<>();
        for (CrashSuspect suspect : suspects) {
            SuspectPolicy.Verdict one = decide(service, suspect, nowNanos);
            if (suspect.isShared() && one.decision() != Decision.SEND) {
                sharedBlocked.add(suspect);
            }
            verdict = verdict.stricter(one);
        }
        if (sharedBlocked.isEmpty() || verdict.retryAfterMs() > TrialCandidates.MAX_WAIT_MS) {
            return verdict;
        }
        boolean isBest = candidates.isBest(sharedBlocked, suspects, nowNanos);
        return verdict.decision() == Decision.TRIAL && !isBest
                ? SuspectPolicy.refuse(TrialCandidates.RETRY_AFTER_MS)
                : verdict;
    }

    /**
     * Returns the suspects of which a request is the trial.
     *
     * @param service the service that it is for, not null
     * @param suspects all that it holds and that may crash servers, not null
     * @param nowNanos the current time, in nanoseconds
     * @return those whose trial is due
     */
    public List<CrashSuspect> onTrial(String service, List<CrashSuspect> suspects, long nowNanos) {
        return suspects.stream()
                .filter(s -> decide(service, s, nowNanos).decision() == Decision.TRIAL)
                .toList();
    }

    /**
     * Returns whether this entry knows of no better request for a trial than another entry has.
     *
     * @param claim the wish of the other entry, not null
     * @param nowNanos the current time, in nanoseconds
     * @return false if a request with less evidence against what else it holds came here lately
     */
    public boolean isBestTrial(TrialClaim claim, long nowNanos) {
        return candidates.isBest(claim.suspect(), claim.evidence(), nowNanos);
    }

    /**
     * Returns the evidence against a request.
     *
     * @param suspects all that it holds and that may crash servers, not null
     * @return the numbers of crashes of those that have any, the largest first
     */
    public List<Integer> evidence(List<CrashSuspect> suspects) {
        return candidates.evidence(suspects);
    }

    private SuspectPolicy.Verdict decide(String service, CrashSuspect suspect, long nowNanos) {
        SuspectPolicy.Verdict verdict =
                SuspectPolicy.decide(
                        history.suspicion(suspect),
                        unconfirmedCrashes.applyAsInt(suspect),
                        nowNanos);
        boolean sharedTrial = suspect.isShared() && verdict.decision() == Decision.TRIAL;
        return sharedTrial && !hasRecovered(service, nowNanos)
                ? SuspectPolicy.refuse(SuspectPolicy.RECOVERY_RETRY_AFTER_MS)
                : verdict;
    }

    private boolean hasRecovered(String service, long nowNanos) {
        return recoveries.hasRecovered(service, history.latestCrashNanos(service), nowNanos);
    }
}
