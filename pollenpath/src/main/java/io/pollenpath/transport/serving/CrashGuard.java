package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.CrashHistory;
import io.pollenpath.coordination.serving.CrashReport;
import io.pollenpath.coordination.serving.CrashVerdicts;
import io.pollenpath.coordination.serving.SuspectPolicy;
import io.pollenpath.coordination.serving.TrialClaim;
import io.pollenpath.coordination.serving.TrialPermits;
import io.pollenpath.coordination.serving.TrialVotes;
import io.pollenpath.state.serving.CrashSuspect;
import io.pollenpath.state.serving.ServerInstance;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Keeps what crashes servers from crashing more of them: it blocks requests with such suspects and
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
    private final CrashVerdicts verdicts;
    private TrialVoters voters = TrialVoters.NONE;
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
        verdicts = new CrashVerdicts(history, detector::unconfirmedCrashes);
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
        SuspectPolicy.Verdict verdict =
                verdicts.decide(request.context().service(), request.suspects().all(), nowNanos);
        if (verdict.decision() != SuspectPolicy.Decision.TRIAL) {
            return verdict;
        }
        for (CrashSuspect suspect : suspectsOnTrial(request, nowNanos)) {
            verdict = verdict.stricter(trialVerdict(request, suspect, nowNanos));
        }
        return verdict;
    }

    private List<CrashSuspect> suspectsOnTrial(ForwardedRequest request, long nowNanos) {
        return verdicts.onTrial(request.context().service(), request.suspects().all(), nowNanos);
    }

    private SuspectPolicy.Verdict trialVerdict(
            ForwardedRequest request, CrashSuspect suspect, long nowNanos) {
        int number = history.suspicion(suspect).trials();
        if (permits.state(suspect, number, nowNanos) == TrialPermits.State.NONE) {
            List<Integer> evidence = verdicts.evidence(request.suspects().all());
            askForPermit(new TrialClaim(suspect, number, ownName, evidence), nowNanos);
        }
        return switch (permits.state(suspect, number, nowNanos)) {
            case GRANTED -> SuspectPolicy.TRIAL;
            case NONE, ASKED -> SuspectPolicy.AWAIT_PERMIT;
            case REFUSED -> SuspectPolicy.refuse(permits.retryAfterMs(suspect, nowNanos));
        };
    }

    private void askForPermit(TrialClaim claim, long nowNanos) {
        permits.onAsked(claim.suspect(), claim.number(), nowNanos);
        if (!vote(claim, nowNanos)) {
            onPermitResult(claim, false);
            return;
        }
        voters.ask(claim)
                .exceptionally(log::trialFailed)
                .thenAccept(agreed -> onPermitResult(claim, agreed));
    }

    private void onPermitResult(TrialClaim claim, boolean agreed) {
        log.voted(claim, agreed);
        permits.onResult(claim.suspect(), claim.number(), agreed, System.nanoTime());
    }

    /** Votes on a trial that an entry wants to run. */
    boolean vote(TrialClaim claim, long nowNanos) {
        return verdicts.isBestTrial(claim, nowNanos)
                && votes.vote(claim, history.suspicion(claim.suspect()).trials(), nowNanos);
    }

    /** Returns whether a request must wait until the other entries have agreed to its trial. */
    boolean awaitsPermit(ForwardedRequest request, long nowNanos) {
        return verdict(request, nowNanos).decision() == SuspectPolicy.Decision.AWAIT_PERMIT;
    }

    /** Logs that a request is refused because of a verdict. */
    void onRefused(ForwardedRequest request, SuspectPolicy.Verdict verdict) {
        CrashSuspect suspect = mostSuspicious(request);
        log.blocked(request, suspect, history.suspicion(suspect), verdict);
    }

    private CrashSuspect mostSuspicious(ForwardedRequest request) {
        Comparator<CrashSuspect> byCrashes =
                Comparator.comparing(suspect -> history.suspicion(suspect).inFlightCrashes());
        return Collections.max(request.suspects().all(), byCrashes);
    }

    /**
     * Decides whether a request may be written to its server. The verdict may have changed since a
     * server was chosen. A trial is recorded, and may be written once a majority of the entries
     * knows of it, so that it counts whatever happens to this entry.
     *
     * @param result receives whether the request may be written; called on the event loop, at once
     *     unless it is a trial
     */
    void authorizeSend(ForwardedRequest request, long nowNanos, Consumer<Boolean> result) {
        SuspectPolicy.Verdict verdict = verdict(request, nowNanos);
        if (verdict.decision() != SuspectPolicy.Decision.TRIAL) {
            if (verdict.maySend()) {
                logSend(request);
            }
            result.accept(verdict.maySend());
            return;
        }
        List<CrashSuspect> onTrial = suspectsOnTrial(request, nowNanos);
        recordTrial(request, onTrial, nowNanos);
        voters.tell()
                .thenApply(known -> mayRunTrial(request, onTrial, known, nowNanos))
                .exceptionally(log::trialFailed)
                .thenAccept(result);
    }

    private boolean mayRunTrial(
            ForwardedRequest request,
            List<CrashSuspect> onTrial,
            boolean known,
            long recordedNanos) {
        boolean inTime = TrialPermits.isInTime(recordedNanos, System.nanoTime());
        boolean withinLimit =
                onTrial.stream().map(history::suspicion).allMatch(SuspectPolicy::isWithinLimit);
        boolean mayRun = known && inTime && withinLimit;
        log.trialRecorded(request, known, mayRun);
        if (mayRun) {
            logSend(request);
        }
        return mayRun;
    }

    private void recordTrial(ForwardedRequest request, List<CrashSuspect> onTrial, long nowNanos) {
        long trialId = random.nextLong();
        for (CrashSuspect suspect : onTrial) {
            history.recordTrial(suspect, trialId, nowNanos);
            log.trial(request, suspect, trialId, history.suspicion(suspect));
        }
        onChange.run();
    }

    private void logSend(ForwardedRequest request) {
        if (history.isEmpty()) {
            return;
        }
        CrashSuspect suspect = mostSuspicious(request);
        CrashHistory.Suspicion suspicion = history.suspicion(suspect);
        if (suspicion.inFlightCrashes() > 0) {
            log.sent(request, suspect, suspicion);
        }
    }

    private void onCrash(ServerInstance server, Set<CrashSuspect> suspects, long nanos) {
        if (history.recordCrash(server.incarnationId(), server.service(), suspects, nanos)) {
            onChange.run();
        }
    }

    /** Records that an answer went on after its first event, which clears what it shares. */
    void onAnswerGoesOn(ForwardedRequest request, long nowNanos) {
        verdicts.onAnswer(request.context().service(), request.sentNanos());
        clear(request, List.of(request.suspects().path()), nowNanos);
        clear(request, request.suspects().ofPrompt(), nowNanos);
    }

    /**
     * Records a complete answer that is no failure, which clears the request and its path, and if
     * it is a success what the request shares because of its prompt.
     */
    void onAnswered(ForwardedRequest request, long nowNanos) {
        verdicts.onAnswer(request.context().service(), request.sentNanos());
        clear(request, request.suspects().whole(), nowNanos);
        clear(request, List.of(request.suspects().path()), nowNanos);
        if (request.isAnsweredBySuccess()) {
            clear(request, request.suspects().ofPrompt(), nowNanos);
        }
    }

    private void clear(ForwardedRequest request, List<CrashSuspect> suspects, long nowNanos) {
        boolean changed = false;
        for (CrashSuspect suspect : suspects) {
            if (history.recordAnswer(suspect, nowNanos)) {
                log.cleared(request, suspect);
                changed = true;
            }
        }
        if (changed) {
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
