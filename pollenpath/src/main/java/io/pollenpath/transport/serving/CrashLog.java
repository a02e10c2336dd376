package io.pollenpath.transport.serving;

import com.codahale.metrics.MetricRegistry;
import io.pollenpath.coordination.serving.CrashHistory;
import io.pollenpath.coordination.serving.CrashReport;
import io.pollenpath.coordination.serving.SuspectPolicy;
import io.pollenpath.coordination.serving.TrialClaim;
import io.pollenpath.state.serving.CrashSuspect;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.MetricNames;
import io.pollenpath.util.LogLine;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records the log events and metrics of servers that end while they run requests. */
final class CrashLog {

    private static final Logger LOG = LoggerFactory.getLogger(CrashLog.class);
    private static final int MAX_LISTED_SUSPECTS = 8;

    private final MetricRegistry metrics;

    CrashLog(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Logs the check of a server after a connection to it broke. */
    void checked(ServerInstance server, Reachability result, Set<CrashSuspect> inFlight) {
        MetricNames.count(metrics, "server_checks_total", "result", result.name());
        LOG.info(
                "{}",
                LogLine.event("server_checked")
                        .with("server", server.incarnationId())
                        .with("address", server.address())
                        .with("result", result)
                        .with("requests", countRequests(inFlight))
                        .with("in_flight", inFlight.size())
                        .with("fingerprints", listed(inFlight)));
    }

    private static long countRequests(Set<CrashSuspect> inFlight) {
        return inFlight.stream()
                .filter(suspect -> suspect.kind() == CrashSuspect.Kind.REQUEST)
                .count();
    }

    /** Logs that another process listens where a connection broke, so the server has ended. */
    void restarted(ServerInstance server, Set<CrashSuspect> inFlight) {
        MetricNames.count(metrics, "server_checks_total", "result", "RESTARTED");
        LOG.info(
                "{}",
                LogLine.event("server_restarted")
                        .with("server", server.incarnationId())
                        .with("address", server.address())
                        .with("requests", countRequests(inFlight))
                        .with("in_flight", inFlight.size())
                        .with("fingerprints", listed(inFlight)));
    }

    /** Logs one send of a suspect. */
    void sent(ForwardedRequest request, CrashSuspect suspect, CrashHistory.Suspicion suspicion) {
        MetricNames.count(metrics, "suspects_total", "event", "sent");
        LOG.info(
                "{}",
                LogLine.event("suspect_sent")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("fingerprint", request.suspects().request())
                        .with("suspect", suspect)
                        .with("shared", suspect.isShared())
                        .with("server", request.server().incarnationId())
                        .with("crashes", suspicion.crashes())
                        .with("in_flight_crashes", suspicion.inFlightCrashes())
                        .with("lone_crashes", suspicion.loneCrashes())
                        .with("contested", suspicion.contested())
                        .with("trials", suspicion.trials()));
    }

    /** Logs whether a majority of the entries agrees to a trial. */
    void voted(TrialClaim claim, boolean agreed) {
        MetricNames.count(metrics, "suspects_total", "event", agreed ? "agreed" : "not_agreed");
        LOG.info(
                "{}",
                LogLine.event("suspect_trial_voted")
                        .with("suspect", claim.suspect())
                        .with("trials", claim.number())
                        .with("agreed", agreed));
    }

    /** Logs the trial of a blocked request. */
    void trial(
            ForwardedRequest request,
            CrashSuspect suspect,
            long trialId,
            CrashHistory.Suspicion suspicion) {
        MetricNames.count(metrics, "suspects_total", "event", "trial");
        LOG.info(
                "{}",
                LogLine.event("suspect_trial")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("fingerprint", request.suspects().request())
                        .with("suspect", suspect)
                        .with("shared", suspect.isShared())
                        .with("crashes", suspicion.crashes())
                        .with("contested", suspicion.contested())
                        .with("trial", suspicion.trials())
                        .with("trial_id", Long.toHexString(trialId)));
    }

    /** Logs whether a trial runs after the other entries were told of it. */
    void trialRecorded(ForwardedRequest request, boolean known, boolean runs) {
        MetricNames.count(metrics, "suspects_total", "event", runs ? "trial_runs" : "trial_lost");
        LOG.info(
                "{}",
                LogLine.event("suspect_trial_recorded")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("fingerprint", request.suspects().request())
                        .with("majority_knows", known)
                        .with("runs", runs));
    }

    /** Logs an unexpected error while a trial was prepared, which does not run; returns false. */
    boolean trialFailed(Throwable failure) {
        LOG.error("{}", LogLine.event("suspect_trial_failed").with("cause", failure));
        return false;
    }

    /** Logs the refusal of a blocked request. */
    void blocked(
            ForwardedRequest request,
            CrashSuspect suspect,
            CrashHistory.Suspicion suspicion,
            SuspectPolicy.Verdict verdict) {
        MetricNames.count(metrics, "suspects_total", "event", "blocked");
        LOG.info(
                "{}",
                LogLine.event("suspect_blocked")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("fingerprint", request.suspects().request())
                        .with("suspect", suspect)
                        .with("shared", suspect.isShared())
                        .with("crashes", suspicion.crashes())
                        .with("in_flight_crashes", suspicion.inFlightCrashes())
                        .with("lone_crashes", suspicion.loneCrashes())
                        .with("contested", suspicion.contested())
                        .with("trials", suspicion.trials())
                        .with("service_trials", suspicion.serviceTrials())
                        .with("may_have_run", request.mayHaveRun())
                        .with("retry_after_ms", verdict.retryAfterMs()));
    }

    /** Logs that a complete answer cleared a suspect. */
    void cleared(ForwardedRequest request, CrashSuspect suspect) {
        MetricNames.count(metrics, "suspects_total", "event", "cleared");
        LOG.info(
                "{}",
                LogLine.event("suspect_cleared")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("fingerprint", request.suspects().request())
                        .with("suspect", suspect)
                        .with("shared", suspect.isShared()));
    }

    /** Logs that another entry told something new. */
    void learned(CrashReport report) {
        LOG.info(
                "{}",
                LogLine.event("crashes_learned")
                        .with("crashes", report.crashes().size())
                        .with("clearances", report.clearances().size())
                        .with("trials", report.trials().size())
                        .with("trial_ids", listedTrials(report)));
    }

    private static String listedTrials(CrashReport report) {
        return report.trials().stream()
                .sorted(Comparator.comparingLong(CrashReport.Trial::ageMs))
                .limit(MAX_LISTED_SUSPECTS)
                .map(trial -> Long.toHexString(trial.id()))
                .collect(Collectors.joining(","));
    }

    private static String listed(Set<CrashSuspect> fingerprints) {
        return fingerprints.stream()
                .limit(MAX_LISTED_SUSPECTS)
                .map(CrashSuspect::toString)
                .collect(Collectors.joining(","));
    }
}
