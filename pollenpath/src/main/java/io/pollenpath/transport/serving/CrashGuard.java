package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.CrashHistory;
import io.pollenpath.coordination.serving.CrashReport;
import io.pollenpath.coordination.serving.SuspectPolicy;
import io.pollenpath.coordination.serving.TrialClaim;
import io.pollenpath.coordination.serving.TrialPermits;
import io.pollenpath.coordination.serving.TrialVotes;
import io.pollenpath.state.serving.RequestFingerprint;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps requests that crash the servers that run them from crashing more. When a connection breaks
 * under a request, it checks whether the server still listens; if not, or if another process
 * listens there, all requests in flight on that server are suspects. All calls are made on one
 * event loop.
 */
final class CrashGuard {

    /** How long it may take to learn that a server that still listens is another process. */
    private static final long RESTART_EVIDENCE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final CrashHistory history = new CrashHistory();
    private final Map<String, Set<RequestFingerprint>> checking = new HashMap<>();
    private final Map<String, BrokenServer> listening = new HashMap<>();
    private final AbandonedRequests abandoned = new AbandonedRequests();
    private final BackendConnectionPool connections;
    private final CrashLog log;
    private final RandomGenerator random;
    private final String ownName;
    private final TrialVotes votes;
    private final TrialPermits permits;
    private ServingView view = ServingView.EMPTY;
    private TrialVoters voters = claim -> CompletableFuture.completedFuture(true);
    private Runnable onChange = () -> {};

    CrashGuard(
            String ownName,
            BackendConnectionPool connections,
            CrashLog log,
            RandomGenerator random,
            long startNanos) {
        this.ownName = ownName;
        this.connections = connections;
        this.log = log;
        this.random = random;
        votes = new TrialVotes(startNanos);
        permits = new TrialPermits(random);
    }

    /** Sets who else must agree to trials; without them this entry decides alone. */
    void setVoters(TrialVoters newVoters) {
        voters = newVoters;
    }

    /** Sets what to do after this entry has learned something that other entries should know. */
    void setOnChange(Runnable newOnChange) {
        onChange = newOnChange;
    }

    /**
     * Decides whether a request may be sent. Where a trial is due, it asks the other entries to
     * agree to it first.
     */
    SuspectPolicy.Verdict verdict(ForwardedRequest request, long nowNanos) {
        if (history.isEmpty() && checking.isEmpty()) {
            return SuspectPolicy.SEND;
        }
        RequestFingerprint fingerprint = request.fingerprint();
        int unconfirmed = 0;
        for (Set<RequestFingerprint> suspects : checking.values()) {
            unconfirmed += suspects.contains(fingerprint) ? 1 : 0;
        }
        CrashHistory.Suspicion suspicion = history.suspicion(fingerprint);
        SuspectPolicy.Verdict verdict = SuspectPolicy.decide(suspicion, unconfirmed, nowNanos);
        boolean trial = verdict.decision() == SuspectPolicy.Decision.TRIAL;
        return trial ? trialVerdict(fingerprint, suspicion.trials(), nowNanos) : verdict;
    }

    /**
     * A server whose connection broke.
     *
     * @param suspects the requests that were in flight on it
     * @param nanos the time, in nanoseconds
     */
    private record BrokenServer(
            ServerInstance server, Set<RequestFingerprint> suspects, long nanos) {}

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

    /**
     * Checks a server after a connection broke.
     *
     * @param broken the request on that connection
     * @param others the other requests in flight on the server
     */
    void onConnectionBroken(
            ServerInstance server,
            ForwardedRequest broken,
            Collection<ForwardedRequest> others,
            long nowNanos) {
        Set<RequestFingerprint> suspects = abandoned.on(server, nowNanos);
        suspects.add(broken.fingerprint());
        others.forEach(request -> suspects.add(request.fingerprint()));
        check(server, suspects, nowNanos);
    }

    /** Checks a server to which no connection could be opened, if it may have crashed. */
    void onConnectFailed(ServerInstance server, long nowNanos) {
        Set<RequestFingerprint> suspects = abandoned.on(server, nowNanos);
        if (!suspects.isEmpty()) {
            check(server, suspects, nowNanos);
        }
    }

    /** Records that a request was given up while a server was at work on it. */
    void onAbandoned(ForwardedRequest request, ServerInstance server, long nowNanos) {
        abandoned.add(server, request.fingerprint(), nowNanos);
    }

    private void check(ServerInstance server, Set<RequestFingerprint> suspects, long nowNanos) {
        Set<RequestFingerprint> inProgress = checking.get(server.incarnationId());
        if (inProgress != null) {
            inProgress.addAll(suspects);
            return;
        }
        checking.put(server.incarnationId(), suspects);
        connections.check(server, result -> onChecked(server, result, nowNanos));
    }

    private void onChecked(ServerInstance server, Reachability result, long brokenNanos) {
        Set<RequestFingerprint> suspects = checking.remove(server.incarnationId());
        log.checked(server, result, suspects);
        BrokenServer broken = new BrokenServer(server, suspects, brokenNanos);
        switch (result) {
            case REFUSED -> recordCrash(broken);
            case LISTENING -> {
                listening.put(server.incarnationId(), broken);
                onView(view, System.nanoTime());
            }
            case UNREACHABLE -> {}
        }
    }

    private void recordCrash(BrokenServer broken) {
        ServerInstance server = broken.server();
        if (history.recordCrash(
                server.incarnationId(), server.service(), broken.suspects(), broken.nanos())) {
            onChange.run();
        }
    }

    /** Records that another process listens at the address of a server. */
    void onReplaced(ServerInstance server, long nowNanos) {
        BrokenServer broken = listening.remove(server.incarnationId());
        Set<RequestFingerprint> suspects = abandoned.on(server, nowNanos);
        if (broken != null) {
            suspects.addAll(broken.suspects());
        }
        if (!suspects.isEmpty()) {
            log.restarted(server, suspects);
            long brokenNanos = broken == null ? nowNanos : broken.nanos();
            recordCrash(new BrokenServer(server, suspects, brokenNanos));
        }
    }

    /** Looks for servers that have been replaced since a request was on them. */
    void onView(ServingView newView, long nowNanos) {
        view = newView;
        List<ServerInstance> servers = new ArrayList<>(abandoned.servers(nowNanos));
        listening.values().forEach(broken -> servers.add(broken.server()));
        servers.stream().filter(view::isReplaced).forEach(server -> onReplaced(server, nowNanos));
    }

    /**
     * Records that a server has answered, so the process that a connection broke to is running.
     *
     * @param sentNanos the time at which the answered request was sent
     */
    void onServerAnswered(ServerInstance server, long sentNanos) {
        BrokenServer broken = listening.get(server.incarnationId());
        if (broken != null && sentNanos - broken.nanos() > 0) {
            listening.remove(server.incarnationId());
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
        listening.values().removeIf(broken -> nowNanos - broken.nanos() > RESTART_EVIDENCE_NANOS);
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
        changed |= addAbandoned(nowNanos);
        if (changed) {
            onChange.run();
        }
    }

    /** Adds the requests that this entry gave up to the crashes that another one saw. */
    private boolean addAbandoned(long nowNanos) {
        boolean changed = false;
        for (ServerInstance server : abandoned.servers(nowNanos)) {
            if (history.hasCrashed(server.incarnationId())) {
                changed |=
                        history.recordCrash(
                                server.incarnationId(),
                                server.service(),
                                abandoned.on(server, nowNanos),
                                nowNanos);
            }
        }
        return changed;
    }

    /** Returns what this entry knows. */
    CrashReport report(long nowNanos) {
        return history.report(nowNanos);
    }
}
