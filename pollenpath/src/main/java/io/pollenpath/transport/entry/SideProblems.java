package io.pollenpath.transport.entry;

import io.pollenpath.protocol.Problem;
import io.pollenpath.protocol.wire.Execution;
import io.pollenpath.protocol.wire.Refused;
import io.pollenpath.state.Executed;
import java.util.Map;
import java.util.Set;

/** Converts refusals of a side process, and the loss of its link, to problems for the caller. */
final class SideProblems {

    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_GONE = 410;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_TIMEOUT = 504;
    private static final int RETRY_AFTER_MS = 1_000;
    private static final Map<String, Integer> STATUSES =
            Map.of(
                    "unknown_request", STATUS_NOT_FOUND,
                    "resumed_elsewhere", STATUS_CONFLICT,
                    "piece_released", STATUS_GONE,
                    "cancelled", STATUS_GONE,
                    "resume_window_over", STATUS_GONE,
                    "deadline_exceeded", STATUS_TIMEOUT);
    private static final Set<String> FINAL =
            Set.of(
                    "resumed_elsewhere",
                    "piece_released",
                    "cancelled",
                    "resume_window_over",
                    "answer_too_large");
    private static final Map<String, String> LOST_DETAILS =
            Map.of(
                    "link_lost", "the link to the server was lost and not restored in time",
                    "side_gone", "the process that kept the answer has terminated",
                    "resumed_elsewhere", "another connection now reads this answer",
                    "answer_too_large", "the answer exceeds the whole-answer limit; stream it");

    private SideProblems() {}

    static Problem of(Refused refused) {
        return new Problem(
                STATUSES.getOrDefault(refused.getCode(), STATUS_UNAVAILABLE),
                refused.getCode(),
                refused.getDetail(),
                toExecuted(refused.getExecution()),
                refused.getRetryAfterMs());
    }

    static Problem lost(String code, Executed executed) {
        return new Problem(
                STATUSES.getOrDefault(code, STATUS_BAD_GATEWAY),
                code,
                LOST_DETAILS.getOrDefault(code, "the answer was lost"),
                executed,
                0);
    }

    /** Returns the problem for an answer whose server was removed from the configuration. */
    static Problem undeclared(String server) {
        return new Problem(
                STATUS_GONE,
                "server_gone",
                "server '" + server + "' is not declared; its answers are not available",
                Executed.UNKNOWN,
                0);
    }

    /** Returns the problem for an answer whose server is unreachable at the moment. */
    static Problem noLink() {
        return new Problem(
                STATUS_UNAVAILABLE,
                "no_link",
                "the server that keeps the answer is unreachable; retry later",
                Executed.UNKNOWN,
                RETRY_AFTER_MS);
    }

    /**
     * Returns whether a request with this code must not be retried, whatever its contract allows.
     */
    static boolean isFinal(String code) {
        return FINAL.contains(code);
    }

    private static Executed toExecuted(Execution execution) {
        return switch (execution) {
            case EXECUTION_NO -> Executed.NO;
            case EXECUTION_YES -> Executed.YES;
            default -> Executed.UNKNOWN;
        };
    }
}
