package io.pollenpath.transport.side;

import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the requests that a side process refuses to run. */
final class SideLogs {

    private static final Logger LOG = LoggerFactory.getLogger(SideLogs.class);

    private SideLogs() {}

    static void refused(Submit submit, String code) {
        LOG.info(
                "{}",
                LogLine.event("run_refused")
                        .with("trace", Traces.traceId(submit.getTraceparent()))
                        .with("request", submit.getRequestId())
                        .with("customer", submit.getCustomer())
                        .with("attempt", submit.getAttempt())
                        .with("code", code));
    }
}
