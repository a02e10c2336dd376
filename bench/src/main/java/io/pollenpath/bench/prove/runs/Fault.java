package io.pollenpath.bench.prove.runs;

import java.util.Locale;

/** A fault that is injected into a simulation of requests with idempotency keys. */
public enum Fault {
    /** No process fails, but the caller sends the same key to several entries, many times. */
    RETRY_STORM("several entries get the same key", "one run, later calls attach"),
    /** An entry is killed with calls pending and restarts without its state. */
    ENTRY_KILLED("while it holds claims", "the retry attaches through another entry"),
    /** An executor is killed and restarts without its state. */
    EXECUTOR_KILLED("after a request was sent to it", "unknown, never a second run"),
    /** An entry and an executor are killed at the same time. */
    ENTRY_AND_EXECUTOR_KILLED(
            "executor and slot owner at the same time", "unknown, never a second run"),
    /** An executor is paused and may resume only after its retention time has passed. */
    EXECUTOR_FROZEN("before or during the run", "the resumed executor starts no request twice"),
    /** An entry is paused and may resume only after the executors' retention time has passed. */
    ENTRY_FROZEN("between claim and send", "the late submit starts no request twice"),
    /** Connections break before a frame is sent. */
    CUT_BEFORE_SEND("before the submit leaves", "unknown until the retry"),
    /** Connections break after a frame is sent. */
    CUT_AFTER_SEND("after the submit left", "unknown until the retry attaches"),
    /** Frames are delayed, duplicated and reordered. */
    LATE_FRAMES("any frame between processes", "late copies find a ledger entry or a tombstone"),
    /** Executors refuse requests because their queues are full or they drain. */
    REFUSALS("at arrival", "not run, a tombstone, and the next attempt on another executor"),
    /** Refusals reach an entry late, while another entry handles the same key. */
    LATE_REFUSALS(
            "between refusal and answer", "not run is answered only after the claim is released"),
    /** The store is unreachable for a while. */
    STORE_DOWN("any store call for a while", "unknown, with a retry-after time"),
    /** Responses to writes are lost, although the writes are applied, some of them late. */
    STORE_ANSWER_LOST("any store write", "the outcome is determined by a read"),
    /** The caller retries after the retention time, when the answer is no longer stored. */
    RETENTION_PASSED("after the retention", "unknown, never a second run"),
    /** All faults above in one simulation. */
    ALL_AT_ONCE("any moment", "at most one run, truthful answers");

    private final String when;
    private final String expected;

    Fault(String when, String expected) {
        this.when = when;
        this.expected = expected;
    }

    /**
     * Returns the name used in reports.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns when the fault occurs.
     *
     * @return the point of the protocol at which it occurs, in words
     */
    public String when() {
        return when;
    }

    /**
     * Returns the result that the system must show under the fault.
     *
     * @return the expected result, in words
     */
    public String expected() {
        return expected;
    }

    /** Returns whether this fault injects the other one as well. */
    boolean includes(Fault other) {
        boolean component = this == LATE_REFUSALS && (other == REFUSALS || other == RETRY_STORM);
        return this == other || component || this == ALL_AT_ONCE;
    }
}
