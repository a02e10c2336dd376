package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.MemoryBudget;

/**
 * Decides whether the answer to a request is read on: while its caller takes it, and while there is
 * memory for it.
 */
final class AnswerReading implements MemoryBudget.Owner {

    /** The bytes of a stream that wait for a caller that takes no more. */
    private static final long UNTAKEN_BYTES = 65_536;

    private final EntryMemory memory;
    private final SendProgress progress;
    private final Runnable cut;
    private MemoryBudget.Share share;
    private BackendConnection connection;
    private boolean callerTakes = true;
    private boolean awaitsMemory;

    /**
     * Creates the reading of the answers to one request.
     *
     * @param memory the memory of the entry, not null
     * @param progress hears when an answer is not read, not null
     * @param cut breaks off the answer that is being read, not null
     */
    AnswerReading(EntryMemory memory, SendProgress progress, Runnable cut) {
        this.memory = memory;
        this.progress = progress;
        this.cut = cut;
    }

    /** Begins to read the answer that comes over a connection. */
    void begin(BackendConnection opened) {
        end();
        connection = opened;
        share = memory.openForAnswer(this);
        if (!callerTakes) {
            apply();
        }
    }

    /**
     * Reserves memory for an answer that names its length and is buffered as a whole.
     *
     * @return whether the memory is there; otherwise the answer is read later
     */
    boolean onLength(long bytes) {
        boolean there = bytes == 0 || share.reserve(bytes);
        awaitMemory(there);
        return there;
    }

    /**
     * Adds bytes of a body to an answer that is buffered as a whole.
     *
     * @param answer the answer, not null
     * @param bytes what came at once, not null
     * @param nowNanos the current time, in nanoseconds
     */
    void addBody(ServerAnswer answer, byte[] bytes, long nowNanos) {
        answer.addBody(bytes, nowNanos);
        awaitMemory(share.cover(answer.bufferedBytes()));
        if (awaitsMemory) {
            answer.onReadingStopped();
        }
    }

    /** Counts the bytes of a stream that are buffered now. */
    void onEvents(long bytes) {
        share.shrink(bytes + untakenBytes());
        awaitMemory(share.cover(bytes + untakenBytes()));
    }

    private long untakenBytes() {
        return callerTakes ? 0 : UNTAKEN_BYTES;
    }

    private void awaitMemory(boolean there) {
        if (awaitsMemory == there) {
            awaitsMemory = !there;
            apply();
        }
    }

    /** Reads on, or not while the caller takes no more. */
    void setCallerTakes(boolean takes) {
        if (callerTakes != takes) {
            callerTakes = takes;
            apply();
        }
    }

    @Override
    public void onGranted() {
        awaitsMemory = false;
        apply();
    }

    @Override
    public void onCut() {
        cut.run();
    }

    /** Ends the reading of an answer, which stays in memory. */
    void detach() {
        connection = null;
        awaitsMemory = false;
        if (share != null) {
            share.stopWaiting();
        }
    }

    /** Ends the reading of an answer and gives back its memory. */
    void end() {
        detach();
        if (share != null) {
            share.close();
        }
    }

    private void apply() {
        if (connection != null) {
            boolean reading = callerTakes && !awaitsMemory;
            progress.setReading(reading, System.nanoTime());
            connection.setReading(reading);
        }
    }
}
