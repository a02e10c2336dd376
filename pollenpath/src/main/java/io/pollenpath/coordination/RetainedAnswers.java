package io.pollenpath.coordination;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The answers retained by one side process, with a limit on their total cost.
 *
 * <p>When the limit is exceeded, memory is freed in this order: acknowledged pieces of ended
 * answers, acknowledged pieces of running answers, then whole ended answers without a reader;
 * within each group the oldest answer comes first. If the total still exceeds the limit, the
 * backend server is to be paused.
 */
public final class RetainedAnswers {

    private final long maxBytes;
    private final Map<String, AnswerBuffer> running = new LinkedHashMap<>();
    private final Map<String, AnswerBuffer> ended = new LinkedHashMap<>();
    private long totalBytes;

    /**
     * Creates an empty store.
     *
     * @param maxBytes the limit on the total cost of all answers, in bytes, positive
     */
    public RetainedAnswers(long maxBytes) {
        if (maxBytes < 1) {
            throw new IllegalArgumentException(
                    "maxBytes is " + maxBytes + "; it must be at least 1");
        }
        this.maxBytes = maxBytes;
    }

    /** A query for the readers of answers. */
    @FunctionalInterface
    public interface Readers {

        /**
         * Returns whether an answer currently has a reader.
         *
         * @param requestId the id of the request
         * @return true if a reader is attached
         */
        boolean hasReader(String requestId);
    }

    /**
     * Adds an empty running answer.
     *
     * @param requestId the id of the request, not null
     * @return the empty buffer of the answer
     */
    public AnswerBuffer open(String requestId) {
        Objects.requireNonNull(requestId, "requestId");
        AnswerBuffer answer = new AnswerBuffer();
        running.put(requestId, answer);
        return answer;
    }

    /**
     * Adds a piece to a running answer and frees memory if the limit is exceeded.
     *
     * @param requestId the id of the request; an unknown id is ignored
     * @param piece the bytes, not null
     * @param readers returns which answers have a reader, not null
     */
    public void append(String requestId, byte[] piece, Readers readers) {
        AnswerBuffer answer = running.get(requestId);
        if (answer == null) {
            return;
        }
        answer.append(piece);
        totalBytes += AnswerBuffer.costBytes(piece);
        if (totalBytes > maxBytes) {
            reclaim(readers);
        }
    }

    /**
     * Marks an answer as ended; no more pieces are added to it.
     *
     * @param requestId the id of the request; an unknown id is ignored
     */
    public void end(String requestId) {
        AnswerBuffer answer = running.remove(requestId);
        if (answer != null) {
            ended.put(requestId, answer);
        }
    }

    /**
     * Removes an answer.
     *
     * @param requestId the id of the request; an unknown id is ignored
     */
    public void remove(String requestId) {
        AnswerBuffer answer = running.remove(requestId);
        if (answer == null) {
            answer = ended.remove(requestId);
        }
        if (answer != null) {
            totalBytes -= answer.releaseAll();
        }
    }

    /**
     * Frees the pieces of a running answer, which continues.
     *
     * @param requestId the id of the request; an unknown id is ignored
     */
    public void discardPieces(String requestId) {
        AnswerBuffer answer = running.get(requestId);
        if (answer != null) {
            totalBytes -= answer.releaseAll();
        }
    }

    private void reclaim(Readers readers) {
        releaseAcknowledged(ended);
        releaseAcknowledged(running);
        Iterator<Map.Entry<String, AnswerBuffer>> oldestFirst = ended.entrySet().iterator();
        while (totalBytes > maxBytes && oldestFirst.hasNext()) {
            Map.Entry<String, AnswerBuffer> entry = oldestFirst.next();
            if (!readers.hasReader(entry.getKey())) {
                totalBytes -= entry.getValue().releaseAll();
            }
        }
    }

    private void releaseAcknowledged(Map<String, AnswerBuffer> answers) {
        for (AnswerBuffer answer : answers.values()) {
            if (totalBytes <= maxBytes) {
                return;
            }
            totalBytes -= answer.releaseAcknowledged(totalBytes - maxBytes);
        }
    }

    /**
     * Returns whether the total exceeds the limit after freeing what may be freed.
     *
     * @param readers returns which answers have a reader, not null
     * @return true if backend servers should be paused
     */
    public boolean isFull(Readers readers) {
        if (totalBytes > maxBytes) {
            reclaim(readers);
        }
        return totalBytes > maxBytes;
    }

    /**
     * Returns the cost of all retained pieces.
     *
     * @return the cost, in bytes
     */
    public long totalBytes() {
        return totalBytes;
    }
}
