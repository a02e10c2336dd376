package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.CrashHistory;
import io.pollenpath.coordination.serving.CrashReport;
import io.pollenpath.coordination.serving.SuspectPolicy;
import io.pollenpath.coordination.serving.TrialClaim;
import io.pollenpath.coordination.serving.TrialPermits;
import io.pollenpath.coordination.serving.TrialVotes;
import io.pollenpath.state.serving.RequestFingerprint;
import io.pollenpath.state.serving.ServerInstance;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Keeps requests that crash the servers that run them from crashing more: it blocks suspects and
 * gives their trials together with the other entries. All calls are made on one event loop.
 */
final class CrashGuard {

    private final CrashHistory history = new CrashHistory();
    private final CrashDetector detector;
    private final CrashLog log;
    private final RandomGenerator random;
    private final String ownName;
    private final TrialVotes votes;
    private final TrialPermits permits;
    private TrialVoters voters = claim -> CompletableFuture.completedFuture(true);
    private Runnable onChange = () -> {};
    private Runnable onLearned = () -> {};

    CrashGuard(
            String ownName,
            BackendConnectionPool connections,
            CrashLog log,
            RandomGenerator random,
            long startNanos) {
        this.ownName = ownName;
        detector = new CrashDetector(connections, log, this::onCrash);
        this.log = log;
        this.random = random;
        votes = new TrialVotes(startNanos);
        permits = new TrialPermits(random);
    }

    /** Returns what finds out which servers have crashed. */
    CrashDetector detector() {
        return detector;
    }

    /** Sets who else must agree to trials; without them this entry decides alone. */
    void setVoters(TrialVoters newVoters) {
        voters = newVoters;
    }

    /** Sets what to do after this entry has learned something that other entries should know. */
    void setOnChange(Runnable newOnChange) {
        onChange = newOnChange;
    }

    /** Sets what to do after another entry has told this one something new. */
    void setOnLearned(Runnable newOnLearned) {
        onLearned = newOnLearned;
    }

    /**
     * Decides whether a request may be sent. Where a trial is due, it asks the other entries to
     * agree to it first.
     */
    SuspectPolicy.Verdict verdict(ForwardedRequest request, long nowNanos) {
        if (history.isEmpty() && !detector.isChecking()) {
            return SuspectPolicy.SEND;
        }
        RequestFingerprint fingerprint = request.fingerprint();
        int unconfirmed = detector.unconfirmedCrashes(fingerprint);
        CrashHistory.Suspicion suspicion = history.suspicion(fingerprint);
        SuspectPolicy.Verdict verdict = SuspectPolicy.decide(suspicion, unconfirmed, nowNanos);
        boolean trial = verdict.decision() == SuspectPolicy.Decision.TRIAL;
        return trial ? trialVerdict(fingerprint, suspicion.trials(), nowNanos) : verdict;
    }

    private SuspectPolicy.Verdict trialVerdict(
            RequestFingerprint request, int number, long nowNanos) {
        if (permits.state(request, number, nowNanos) == TrialPermits.State.NONE) {
            askForPermit(new TrialClaim(request, number, ownName), nowNanos);
        }
        return switch (permits.state(request, number, nowNanos)) {
            case GRANTED -> SuspectPolicy.TRIAL;
            case NONE, ASKED -> SuspectPolicy.AWAIT_PERMIT;
            case REFUSED -> SuspectPolicy.refuse(permits.remainingMs(request, nowNanos));
        };
    }

    private void askForPermit(TrialClaim claim, long nowNanos) {
        permits.onAsked(claim.request(), claim.number(), nowNanos);
        if (!vote(claim, nowNanos)) {
            onPermitResult(claim, false);
            return;
        }
        voters.ask(claim).thenAccept(agreed -> onPermitResult(claim, agreed));
    }

    private void onPermitResult(TrialClaim claim, boolean agreed) {
        log.voted(claim, agreed);
        permits.onResult(claim.request(), claim.number(), agreed, System.nanoTime());
    }

    /** Votes on a trial that an entry wants to run. */
    boolean vote(TrialClaim claim, long nowNanos) {
        return votes.vote(claim, history.suspicion(claim.request()).trials(), nowNanos);
    }

    /** Returns whether a request must wait until the other entries have agreed to its trial. */
    boolean awaitsPermit(ForwardedRequest request, long nowNanos) {
        return verdict(request, nowNanos).decision() == SuspectPolicy.Decision.AWAIT_PERMIT;
    }

    /** Logs that a request is refused because of a verdict. */
    void onRefused(ForwardedRequest request, SuspectPolicy.Verdict verdict) {
        log.blocked(request, history.suspicion(request.fingerprint()), verdict);
    }

    /**
     * Decides whether a request may be written to its server, and records the trial if it is one.
     * The verdict may have changed since a server was chosen.
     */
    boolean maySend(ForwardedRequest request, long nowNanos) {
        SuspectPolicy.Verdict verdict = verdict(request, nowNanos);
        if (!verdict.maySend()) {
            return false;
        }
        if (verdict.decision() == SuspectPolicy.Decision.TRIAL) {
            RequestFingerprint fingerprint = request.fingerprint();
            history.recordTrial(fingerprint, random.nextLong(), nowNanos);
            log.trial(request, history.suspicion(fingerprint));
            onChange.run();
        }
        logSend(request);
        return true;
    }

    private void logSend(ForwardedRequest request) {
        if (history.isEmpty()) {
            return;
        }
        CrashHistory.Suspicion suspicion = history.suspicion(request.fingerprint());
        if (suspicion.inFlightCrashes() > 0) {
            log.sent(request, suspicion);
        }
    }

    private void onCrash(ServerInstance server, Set<RequestFingerprint> suspects, long nanos) {
        if (history.recordCrash(server.incarnationId(), server.service(), suspects, nanos)) {
            onChange.run();
        }
    }

    /** Records a complete answer, which clears a suspect. */
    void onAnswered(ForwardedRequest request, long nowNanos) {
        if (history.isEmpty()) {
            return;
        }
        RequestFingerprint fingerprint = request.fingerprint();
        if (history.recordAnswer(fingerprint, nowNanos)) {
            log.cleared(request);
            onChange.run();
        }
    }

    /** Forgets what is too old. */
    void expire(long nowNanos) {
        history.expire(nowNanos);
        detector.expire(nowNanos);
    }

    /**
     * Merges what another entry knows. What is new is passed on, because the entry that told it may
     * not reach all others or may be gone.
     */
    void merge(CrashReport report, long nowNanos) {
        boolean changed = history.merge(report, nowNanos);
        if (changed) {
            log.learned(report);
        }
        if (changed) {
            onLearned.run();
        }
        detector.reportAbandoned(history::hasCrashed, nowNanos);
    }

    /** Returns what this entry knows. */
    CrashReport report(long nowNanos) {
        return history.report(nowNanos);
    }
}
