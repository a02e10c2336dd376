package io.pollenpath.transport.serving;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.AnswerBegin;
import io.pollenpath.transport.MetricNames;
import io.pollenpath.util.LogLine;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records the log events and metrics of forwarded requests. */
final class RequestLog {

    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);
    private static final int MAX_LISTED_PARTS = 8;
    private static final int MAX_SHOWN_BYTES = 60;

    private final MetricRegistry metrics;
    private final Histogram latencyMs;
    private final Histogram queueWaitMs;

    RequestLog(MetricRegistry metrics) {
        this.metrics = metrics;
        latencyMs = metrics.histogram("request_latency_ms");
        queueWaitMs = metrics.histogram("request_queue_wait_ms");
    }

    void done(ForwardedRequest request, int status, String reason, long nowNanos) {
        RequestContext context = request.context();
        long arrivedNanos = context.arrivedNanos();
        long totalMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivedNanos);
        long queuedMs = request.progress().queuedMs(arrivedNanos, nowNanos);
        long timeoutMs = TimeUnit.NANOSECONDS.toMillis(context.deadlineNanos() - arrivedNanos);
        latencyMs.update(totalMs);
        queueWaitMs.update(queuedMs);
        MetricNames.count(metrics, "requests_total", "outcome", reason);
        MetricNames.count(metrics, "answers_total", "framing", request.answer().framing().name());
        LOG.info(
                "{}",
                LogLine.event("request_done")
                        .with("request", context.callerHeaders().requestId())
                        .with("route", context.route().name())
                        .with("service", context.service())
                        .with("account", context.account().map(a -> a.name()).orElse(""))
                        .with("config", context.configVersion())
                        .with("status", status)
                        .with("reason", reason)
                        .with("sends", request.sends())
                        .with("server", request.server() == null ? "" : request.server().id())
                        .with("waited_ms", queuedMs)
                        .with("total_ms", totalMs)
                        .with("timeout_ms", timeoutMs)
                        .with("events", request.reply().events())
                        .with("first_event_ms", request.progress().firstEventMs(arrivedNanos))
                        .with("longest_gap_ms", request.progress().longestGapMs())
                        .with("framing", request.answer().framing()));
    }

    void refused(
            ForwardedRequest request,
            String reason,
            ServiceTraffic service,
            int servers,
            long retryAfterMs) {
        LOG.info(
                "{}",
                LogLine.event("request_refused")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("service", request.context().service())
                        .with("reason", reason)
                        .with("servers", servers)
                        .with("in_flight", service.inFlight())
                        .with("waiting", service.queue().size())
                        .with("expected_wait_ms", Math.round(service.expectedWaitMs()))
                        .with("pause_ms", Math.round(service.meanEventGapMs()))
                        .with("retry_after_ms", retryAfterMs));
    }

    /** Logs the load of a service as this entry sees it. */
    void serviceState(String service, ServiceTraffic traffic, int servers) {
        LOG.info(
                "{}",
                LogLine.event("service_state")
                        .with("service", service)
                        .with("servers", servers)
                        .with("in_flight", traffic.inFlight())
                        .with("waiting", traffic.queue().size())
                        .with("limit", Math.round(traffic.concurrencyLimit()))
                        .with("pause_ms", Math.round(traffic.meanEventGapMs()))
                        .with("expected_wait_ms", Math.round(traffic.expectedWaitMs())));
    }

    void rejected(
            CallerHeaders callerHeaders, String host, String uri, long configVersion, int status) {
        MetricNames.count(metrics, "requests_rejected_total", "status", Integer.toString(status));
        LOG.info(
                "{}",
                LogLine.event("request_rejected")
                        .with("request", callerHeaders.requestId())
                        .with("host", host)
                        .with("path", uri)
                        .with("config", configVersion)
                        .with("status", status));
    }

    void sendFailed(
            ForwardedRequest request,
            ServerInstance server,
            SendOutcome outcome,
            String cause,
            String decision) {
        MetricNames.count(metrics, "sends_failed_total", "outcome", outcome.name());
        LOG.info(
                "{}",
                LogLine.event("send_failed")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("fingerprint", request.suspects().request())
                        .with("content", request.suspects().content())
                        .with("server", server == null ? "" : server.id())
                        .with("send", request.sends())
                        .with("outcome", outcome)
                        .with("cause", cause)
                        .with("events_of_send", request.answer().events())
                        .with("framing", request.answer().framing())
                        .with("prompt_parts", listedParts(request))
                        .with("may_have_run", request.mayHaveRun())
                        .with("decision", decision));
    }

    /** Logs whether the server of an answer that ended with its connection still runs. */
    void endChecked(ForwardedRequest request, ServerInstance server, Reachability result) {
        MetricNames.count(metrics, "answer_ends_checked_total", "result", result.name());
        LOG.info(
                "{}",
                LogLine.event("answer_end_checked")
                        .with("request", request.context().callerHeaders().requestId())
                        .with("server", server.incarnationId())
                        .with("result", result)
                        .with("events_of_send", request.answer().events()));
    }

    /**
     * Logs the end of an answer that shows, or may show, bytes of another one. The bytes themselves
     * may be those of other callers and are logged for debugging only.
     */
    void ended(ForwardedRequest request, ServerInstance server, byte[] behind) {
        AnswerEnd end = request.answer().end(behind);
        if (behind.length == 0 && end.isOwn()) {
            return;
        }
        MetricNames.count(metrics, "answers_end_shown_total", "end", end.name());
        String requestId = request.context().callerHeaders().requestId();
        LOG.info(
                "{}",
                LogLine.event("answer_end")
                        .with("request", requestId)
                        .with("server", server.id())
                        .with("framing", request.answer().framing())
                        .with("end", end)
                        .with("bytes_behind", behind.length)
                        .with("in_step", AnswerBegin.isSound(behind)));
        LOG.debug(
                "{}",
                LogLine.event("answer_end_bytes")
                        .with("request", requestId)
                        .with("ends_with", request.answer().lastText(MAX_SHOWN_BYTES))
                        .with("goes_on_with", firstText(behind)));
    }

    private static String firstText(byte[] bytes) {
        int shown = Math.min(bytes.length, MAX_SHOWN_BYTES);
        return new String(bytes, 0, shown, StandardCharsets.ISO_8859_1);
    }

    private static String listedParts(ForwardedRequest request) {
        return request.context().callerHeaders().sharedPromptParts().stream()
                .limit(MAX_LISTED_PARTS)
                .collect(Collectors.joining(","));
    }

    void callerConnectionFailed(Throwable cause, boolean withinStream) {
        LOG.debug(
                "{}",
                LogLine.event("caller_connection_failed")
                        .with("cause", cause)
                        .with("within_stream", withinStream));
    }
}
