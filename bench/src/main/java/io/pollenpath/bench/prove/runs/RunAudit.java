package io.pollenpath.bench.prove.runs;

import io.pollenpath.state.Executed;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the runs of each request and checks them against the answers that callers receive: a
 * request must run at most once, and no answer may state falsely whether it ran.
 */
final class RunAudit {

    /** The runs, calls and answers of one request. */
    private static final class RequestRecord {
        int runs;
        int pendingCalls;
        boolean reportedNotRun;
    }

    private final Map<String, RequestRecord> requestRecords = new HashMap<>();
    private int duplicateRuns;
    private int falseAnswers;
    private int answers;
    private int answersWithoutResult;

    private RequestRecord recordOf(String requestId) {
        return requestRecords.computeIfAbsent(requestId, id -> new RequestRecord());
    }

    /** Records that a caller sends the request, for the first time or as a retry. */
    void onCall(String requestId) {
        RequestRecord request = recordOf(requestId);
        request.pendingCalls++;
        request.reportedNotRun = false;
    }

    /** Records that an executor starts the request. */
    void onRun(String requestId) {
        RequestRecord request = recordOf(requestId);
        request.runs++;
        if (request.runs > 1) {
            duplicateRuns++;
        }
        if (request.reportedNotRun) {
            falseAnswers++;
        }
    }

    int runs(String requestId) {
        return recordOf(requestId).runs;
    }

    /**
     * Records the answer to a call and checks it. "Not run" must be true when the entry decides on
     * that answer, and the request must not run afterwards unless a caller sends it again.
     *
     * @param runsWhenDecided the runs of the request when the entry decided to answer "not run"
     */
    void onAnswer(String requestId, Executed executed, int runsWhenDecided) {
        RequestRecord request = recordOf(requestId);
        request.pendingCalls--;
        answers++;
        if (executed != Executed.YES) {
            answersWithoutResult++;
        }
        boolean falseNotRun = executed == Executed.NO && runsWhenDecided > 0;
        boolean falseRun = executed == Executed.YES && request.runs == 0;
        if (falseNotRun || falseRun) {
            falseAnswers++;
        }
        request.reportedNotRun = executed == Executed.NO && request.pendingCalls == 0;
    }

    /** Records that a call ends without an answer because its entry was terminated. */
    void onCallAborted(String requestId) {
        recordOf(requestId).pendingCalls--;
    }

    int duplicateRuns() {
        return duplicateRuns;
    }

    int falseAnswers() {
        return falseAnswers;
    }

    int answers() {
        return answers;
    }

    int answersWithoutResult() {
        return answersWithoutResult;
    }

    /** Returns the number of requests that ran at least once. */
    long requestsRun() {
        return requestRecords.values().stream().filter(r -> r.runs > 0).count();
    }
}
