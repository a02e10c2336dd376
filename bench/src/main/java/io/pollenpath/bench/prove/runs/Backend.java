package io.pollenpath.bench.prove.runs;

import io.pollenpath.state.Executed;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the runs of each request and checks them against the answers that callers receive: a
 * request must run at most once, and no answer may state falsely whether it ran.
 */
final class Backend {

    /** The runs, calls and answers of one request. */
    private static final class History {
        int runs;
        int openCalls;
        boolean denied;
    }

    private final Map<String, History> records = new HashMap<>();
    private int doubleRuns;
    private int falseAnswers;
    private int answers;
    private int refusals;

    private History of(String requestId) {
        return records.computeIfAbsent(requestId, id -> new History());
    }

    /** Records that a caller sends the request, for the first time or as a retry. */
    void called(String requestId) {
        History request = of(requestId);
        request.openCalls++;
        request.denied = false;
    }

    /** Records that an executor starts the request. */
    void ran(String requestId) {
        History request = of(requestId);
        request.runs++;
        if (request.runs > 1) {
            doubleRuns++;
        }
        if (request.denied) {
            falseAnswers++;
        }
    }

    int runs(String requestId) {
        return of(requestId).runs;
    }

    /**
     * Records the answer to a call and checks it. "Not run" must be true when the entry decides on
     * that answer, and the request must not run afterwards unless a caller sends it again.
     *
     * @param runsWhenDecided the runs of the request when the entry decided to answer "not run"
     */
    void answered(String requestId, Executed executed, int runsWhenDecided) {
        History request = of(requestId);
        request.openCalls--;
        answers++;
        if (executed != Executed.YES) {
            refusals++;
        }
        boolean falseNotRun = executed == Executed.NO && runsWhenDecided > 0;
        boolean falseRun = executed == Executed.YES && request.runs == 0;
        if (falseNotRun || falseRun) {
            falseAnswers++;
        }
        request.denied = executed == Executed.NO && request.openCalls == 0;
    }

    /** Records that a call ends without an answer because its entry was terminated. */
    void unanswered(String requestId) {
        of(requestId).openCalls--;
    }

    int doubleRuns() {
        return doubleRuns;
    }

    int falseAnswers() {
        return falseAnswers;
    }

    int answers() {
        return answers;
    }

    int refusals() {
        return refusals;
    }

    /** Returns the number of requests that ran at least once. */
    long requestsRun() {
        return records.values().stream().filter(r -> r.runs > 0).count();
    }
}
