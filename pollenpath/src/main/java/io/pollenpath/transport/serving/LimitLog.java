package io.pollenpath.transport.serving;

import com.codahale.metrics.MetricRegistry;
import io.pollenpath.transport.MetricNames;
import io.pollenpath.util.LogLine;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records the log events and metrics of limits that servers name. */
final class LimitLog {

    private static final Logger LOG = LoggerFactory.getLogger(LimitLog.class);

    private final MetricRegistry metrics;

    LimitLog(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Logs that a server names another limit than before, or none any more. */
    void changed(String requestId, String serverId, OptionalDouble before, OptionalDouble now) {
        MetricNames.count(
                metrics, "server_limits_total", "event", now.isPresent() ? "named" : "lifted");
        LOG.info(
                "{}",
                LogLine.event("server_limit")
                        .with("request", requestId)
                        .with("server", serverId)
                        .with("before", text(before))
                        .with("per_second", text(now)));
    }

    /** Logs that a server has said for the first time that it leaves. */
    void leaving(String requestId, String serverId) {
        MetricNames.count(metrics, "server_limits_total", "event", "leaving");
        LOG.info(
                "{}",
                LogLine.event("server_leaving")
                        .with("request", requestId)
                        .with("server", serverId));
    }

    /** Logs that a server wants no requests for a while. */
    void paused(String requestId, String serverId, long pauseMs) {
        MetricNames.count(metrics, "server_limits_total", "event", "paused");
        LOG.info(
                "{}",
                LogLine.event("server_paused")
                        .with("request", requestId)
                        .with("server", serverId)
                        .with("pause_ms", pauseMs));
    }

    /** Logs a limit or pause that is no number; what was known before stays in force. */
    void unreadable(String requestId, String serverId, NumberFormatException cause) {
        MetricNames.count(metrics, "server_limits_total", "event", "unreadable");
        LOG.warn(
                "{}",
                LogLine.event("server_limit_unreadable")
                        .with("request", requestId)
                        .with("server", serverId)
                        .with("cause", cause.getMessage()));
    }

    private static String text(OptionalDouble limit) {
        return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
    }
}
