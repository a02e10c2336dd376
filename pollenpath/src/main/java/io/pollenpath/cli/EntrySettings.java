package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.entry.DeliveryLimits;
import io.pollenpath.util.ValidationErrors;

/** Settings of an entry process. */
@Parameters(commandDescription = "Serve callers on an entry VM")
final class EntrySettings extends CommonSettings {

    @Check(max = 65_535)
    @Parameter(names = "--port", description = "Port for callers, 0 for any")
    int port;

    @Check(min = 1, max = 10)
    @Parameter(names = "--max-attempts", description = "Most attempts for one request")
    int maxAttempts = 3;

    @Check(min = 1, max = 100_000)
    @Parameter(
            names = "--live-entries",
            description = "Entries that share the callers; each gives its part of the limits")
    int liveEntries = 1;

    @Check(min = 1_024, max = 1_073_741_824)
    @Parameter(
            names = "--answer-window-bytes",
            description = "Most bytes of an answer in flight beyond what its caller took")
    int answerWindowBytes = DeliveryLimits.DEFAULT.windowBytes();

    @Check(min = 1_024, max = 1_073_741_824)
    @Parameter(
            names = "--max-whole-answer-bytes",
            description = "Largest answer that is not streamed, in bytes")
    int maxWholeAnswerBytes = DeliveryLimits.DEFAULT.maxWholeBytes();

    @Check(min = 1, max = 3_600_000)
    @Parameter(
            names = "--reconnect-ms",
            description = "How long an open answer waits for a lost link, in milliseconds")
    int reconnectMs = DeliveryLimits.DEFAULT.reconnectMs();

    @Check(min = 100, max = 3_600_000)
    @Parameter(
            names = "--caller-stall-ms",
            description = "How long a caller may take nothing of an answer, in milliseconds")
    int callerStallMs = DeliveryLimits.DEFAULT.stallMs();

    @Check(min = 256, max = 1_048_576)
    @Parameter(names = "--max-header-bytes", description = "Largest head of a request, in bytes")
    int maxHeaderBytes = HttpLimits.DEFAULT.maxHeaderBytes();

    @Check(min = 1_024, max = 6_291_456)
    @Parameter(names = "--max-body-bytes", description = "Largest body of a request, in bytes")
    int maxBodyBytes = HttpLimits.DEFAULT.maxBodyBytes();

    @Check(min = 1, max = 1_000_000)
    @Parameter(names = "--max-connections", description = "Most open connections of callers")
    int maxConnections = HttpLimits.DEFAULT.maxConnections();

    @Check(min = 100, max = 3_600_000)
    @Parameter(
            names = "--idle-timeout-ms",
            description = "How long a connection stays open without a request, in milliseconds")
    int idleTimeoutMs = HttpLimits.DEFAULT.idleTimeoutMs();

    @Check(min = 100, max = 3_600_000)
    @Parameter(
            names = "--request-timeout-ms",
            description = "How long a request may take to arrive whole, in milliseconds")
    int requestTimeoutMs = HttpLimits.DEFAULT.requestTimeoutMs();

    @Check(min = 1, max = 1_024)
    @Parameter(
            names = "--max-pipelined",
            description = "Most requests of a connection that wait for earlier answers")
    int maxPipelined = HttpLimits.DEFAULT.maxPipelined();

    HttpLimits httpLimits() {
        return new HttpLimits(
                maxHeaderBytes,
                maxBodyBytes,
                maxConnections,
                idleTimeoutMs,
                requestTimeoutMs,
                maxPipelined,
                true);
    }

    @Override
    protected void check(ValidationErrors faults) {
        checkPorts(faults, "--port", port);
    }

    DeliveryLimits deliveryLimits() {
        return new DeliveryLimits(
                answerWindowBytes, maxWholeAnswerBytes, reconnectMs, callerStallMs);
    }
}
