package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.QueueTimeouts;
import io.pollenpath.coordination.serving.SuspectPolicy;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.serving.ServingView;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Answers requests with errors of this entry, and says truly whether they may have run. */
final class ProblemAnswers {

    /** The reason in answers and logs for a request that would be cut by a planned stop. */
    static final String STOPPING = "stopping";

    /** The reason in answers and logs for a request that crashes servers. */
    private static final String CRASHES = "crashes_servers";

    /** A caller that comes back to an address of several entries finds another one. */
    private static final long OTHER_ENTRY_RETRY_MS = 1;

    private final Supplier<ServingView> view;
    private final BackendServers servers;
    private final RequestLog log;
    private final CrashGuard crashGuard;
    private final RandomGenerator random;

    ProblemAnswers(
            Supplier<ServingView> view,
            BackendServers servers,
            RequestLog log,
            CrashGuard crashGuard,
            RandomGenerator random) {
        this.view = view;
        this.servers = servers;
        this.log = log;
        this.crashGuard = crashGuard;
        this.random = random;
    }

    /** Answers a request that is suspected of crashing servers and must not be sent now. */
    boolean refuseIfBlocked(ForwardedRequest request, long nowNanos) {
        SuspectPolicy.Verdict verdict = crashGuard.verdict(request, nowNanos);
        if (!verdict.isRefused()) {
            return false;
        }
        crashGuard.onRefused(request, verdict);
        Problem problem =
                request.mayHaveRun()
                        ? GatewayProblems.unknownOutcome(GatewayProblems.BAD_GATEWAY, CRASHES)
                        : GatewayProblems.crashesServers(verdict.retryAfterMs());
        write(request, problem, CRASHES);
        return true;
    }

    /** Answers a request that is not sent, or not sent again, for a reason. */
    void answer(ForwardedRequest request, ServiceTraffic service, String reason, long nowNanos) {
        write(request, problemFor(request, service, reason, nowNanos), reason);
    }

    private static void write(ForwardedRequest request, Problem problem, String reason) {
        request.fail(
                problem.status(),
                GatewayProblems.headers(problem),
                problem.toJson(request.context().callerHeaders().requestId()),
                reason);
    }

    private Problem problemFor(
            ForwardedRequest request, ServiceTraffic service, String reason, long nowNanos) {
        if (request.mayHaveRun()) {
            boolean late = request.timeLeftMs(nowNanos) <= 0;
            return GatewayProblems.unknownOutcome(
                    late ? GatewayProblems.GATEWAY_TIMEOUT : GatewayProblems.BAD_GATEWAY, reason);
        }
        long retryAfterMs =
                reason.equals(STOPPING)
                        ? OTHER_ENTRY_RETRY_MS
                        : QueueTimeouts.retryAfterMs(
                                expectedWaitMs(request, service, nowNanos),
                                service.progress().isStalled(nowNanos),
                                request.timeLeftMs(nowNanos),
                                random);
        int known = view.get().serversOf(request.context().service()).size();
        log.refused(request, reason, service, known, retryAfterMs);
        return GatewayProblems.notExecuted(
                reason, "no server is available in time; retry later", retryAfterMs);
    }

    /** Returns whether a new request should be refused instead of queued. */
    boolean isQueueTooLong(ForwardedRequest request, ServiceTraffic service, long nowNanos) {
        long longestMs = service.maxExpectedQueueMs(request, nowNanos);
        return expectedWaitMs(request, service, nowNanos) > longestMs;
    }

    /** Estimates the queue time of a request that is queued now. */
    private double expectedWaitMs(ForwardedRequest request, ServiceTraffic service, long nowNanos) {
        String name = request.context().service();
        double limitedWaitMs =
                servers.limitedWaitMs(view.get(), name, service.queue().size(), nowNanos);
        return Math.max(service.expectedWaitMs(), limitedWaitMs);
    }
}
