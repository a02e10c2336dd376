package io.pollenpath.coordination;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Bounds what the answers of one side process hold together.
 *
 * <p>When the bound is passed, memory is taken in this order: acknowledged pieces of ended answers,
 * acknowledged pieces of running ones, then whole ended answers that nobody reads, each the oldest
 * first. What remains is bounded by pausing the backend server.
 */
public final class RetainedAnswers {

    private final long maxBytes;
    private final Map<String, AnswerBuffer> running = new LinkedHashMap<>();
    private final Map<String, AnswerBuffer> ended = new LinkedHashMap<>();
    private long totalBytes;

    /**
     * Creates an empty store.
     *
     * @param maxBytes the bound on all answers, in bytes, positive
     */
    public RetainedAnswers(long maxBytes) {
        if (maxBytes < 1) {
            throw new IllegalArgumentException(
                    "maxBytes is " + maxBytes + "; set at least 1 byte for retained answers");
        }
        this.maxBytes = maxBytes;
    }

    /** Tells whether somebody reads an answer. */
    @FunctionalInterface
    public interface Readers {

        /**
         * Tells whether somebody reads an answer.
         *
         * @param requestId the request
         * @return true if somebody does
         */
        boolean hasReader(String requestId);
    }

    /**
     * Adds a new answer.
     *
     * @param requestId the request, not null
     * @return its empty buffer
     */
    public AnswerBuffer open(String requestId) {
        Objects.requireNonNull(requestId, "requestId");
        AnswerBuffer answer = new AnswerBuffer();
        running.put(requestId, answer);
        return answer;
    }

    /**
     * Adds a piece to a running answer and takes memory back if the bound is passed.
     *
     * @param requestId the request; unknown ones are ignored
     * @param piece the bytes, not null
     * @param readers tells which answers are read, not null
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
     * Marks an answer as ended: nothing will be added to it.
     *
     * @param requestId the request; unknown ones are ignored
     */
    public void end(String requestId) {
        AnswerBuffer answer = running.remove(requestId);
        if (answer != null) {
            ended.put(requestId, answer);
        }
    }

    /**
     * Forgets an answer.
     *
     * @param requestId the request; unknown ones are ignored
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
     * Forgets the pieces of an answer that goes on.
     *
     * @param requestId the request; unknown ones are ignored
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
        Iterator<Map.Entry<String, AnswerBuffer>> oldest = ended.entrySet().iterator();
        while (totalBytes > maxBytes && oldest.hasNext()) {
            Map.Entry<String, AnswerBuffer> entry = oldest.next();
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
     * Tells whether the bound is passed by what may not be taken back.
     *
     * @param readers tells which answers are read, not null
     * @return true if backend servers should be paused
     */
    public boolean isFull(Readers readers) {
        if (totalBytes > maxBytes) {
            reclaim(readers);
        }
        return totalBytes > maxBytes;
    }

    /**
     * Returns the cost of all kept pieces.
     *
     * @return the cost, in bytes
     */
    public long totalBytes() {
        return totalBytes;
    }
}
