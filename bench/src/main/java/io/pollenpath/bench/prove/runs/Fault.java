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
    ENTRY_AND_EXECUTOR_KILLED("executor and owner at once", "unknown, never a second run"),
    /** An executor is paused and may resume only after its retention time has passed. */
    EXECUTOR_FROZEN("before or during the run", "the late wake starts nothing twice"),
    /** An entry is paused and may resume only after the executors' retention time has passed. */
    ENTRY_FROZEN("between claim and send", "the late submit starts nothing twice"),
    /** Connections break before a frame is sent. */
    CUT_BEFORE_SEND("before the submit leaves", "unknown until the retry"),
    /** Connections break after a frame is sent. */
    CUT_AFTER_SEND("after the submit left", "unknown until the retry attaches"),
    /** Frames are delayed, duplicated and reordered. */
    LATE_FRAMES("any frame between processes", "late copies meet ledger or tombstone"),
    /** Executors refuse requests because their queues are full or they drain. */
    REFUSALS("at arrival", "not run, a tombstone, and the next attempt elsewhere"),
    /** Refusals reach an entry late, while another entry handles the same key. */
    LATE_REFUSALS("between refusal and answer", "not run is said only after a release"),
    /** The store is unreachable for a while. */
    STORE_DOWN("any store call for a while", "unknown and a time to come back"),
    /** Responses to writes are lost, although the writes are applied, some of them late. */
    STORE_ANSWER_LOST("any store write", "settled by reading"),
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
     * @return the point of the protocol at which it occurs, as text for reports
     */
    public String when() {
        return when;
    }

    /**
     * Returns the result that the system must show under the fault.
     *
     * @return the expected result, as text for reports
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
