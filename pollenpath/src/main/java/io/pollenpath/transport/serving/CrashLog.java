package io.pollenpath.transport.serving;

import com.codahale.metrics.MetricRegistry;
import io.pollenpath.state.serving.RequestFingerprint;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.MetricNames;
import io.pollenpath.util.LogLine;
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
    void checked(ServerInstance server, Reachability result, Set<RequestFingerprint> inFlight) {
        MetricNames.count(metrics, "server_checks_total", "result", result.name());
        LOG.info(
                "{}",
                LogLine.event("server_checked")
                        .with("server", server.incarnationId())
                        .with("address", server.address())
                        .with("result", result)
                        .with("in_flight", inFlight.size())
                        .with("fingerprints", listed(inFlight)));
    }

    private static String listed(Set<RequestFingerprint> fingerprints) {
        return fingerprints.stream()
                .limit(MAX_LISTED_SUSPECTS)
                .map(RequestFingerprint::toString)
                .collect(Collectors.joining(","));
    }
}
