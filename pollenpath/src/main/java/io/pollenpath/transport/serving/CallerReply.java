package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.protocol.Problem;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;

/**
 * What a caller gets as the answer to its request, over all sends of the request: the head of the
 * first server whose events were forwarded, and each event once.
 */
final class CallerReply {

    private final CallerAnswer caller;
    private int status;
    private HttpHeaders head = EmptyHttpHeaders.INSTANCE;
    private boolean begun;

    /** Whether the end of the answer was written, or the answer was broken off. */
    private boolean ended;

    private OptionalLong lastEventId;
    private int events;

    /**
     * Creates a reply of which nothing is written.
     *
     * @param caller writes to the caller's connection, not null
     * @param lastEventId the event from which the caller resumes a stream
     */
    CallerReply(CallerAnswer caller, OptionalLong lastEventId) {
        this.caller = caller;
        this.lastEventId = lastEventId;
    }

    /** Takes the head of a server's answer, unless that of another one was forwarded. */
    void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
        head = begun ? head : HopByHopHeaders.withoutHopByHop(headers);
    }

    /** Returns the status of the latest answer. */
    int status() {
        return status;
    }

    /** Returns whether a part of a stream was forwarded. */
    boolean isBegun() {
        return begun;
    }

    /** Writes an error of this entry unless the end of the answer was written already. */
    void endWith(Problem problem, String requestId) {
        if (!ended) {
            onProblem(problem.status());
            writeProblem(GatewayProblems.headers(problem), problem.toJson(requestId));
        }
    }

    /** Closes the caller's connection, whatever was written. */
    void abort() {
        ended = true;
        caller.abort();
    }

    /** Returns the number of events that were forwarded and say something. */
    int events() {
        return events;
    }

    /** Returns the event after which a stream goes on; empty at its beginning. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns whether the caller takes more bytes. */
    boolean isWritable() {
        return caller.isWritable();
    }

    /**
     * Forwards events that came together, in one write, except for those that the caller has.
     *
     * @return the number of events that were forwarded and say something
     */
    int writeEvents(List<EventSplitter.Event> newEvents) {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        int before = events;
        for (EventSplitter.Event event : newEvents) {
            if (!event.isUpTo(lastEventId)) {
                chunk.writeBytes(event.bytes());
                events += event.hasFields() ? 1 : 0;
                lastEventId = event.id().isPresent() ? event.id() : lastEventId;
            }
        }
        if (chunk.size() > 0) {
            begin();
            caller.writeChunk(chunk.toByteArray());
        }
        return events - before;
    }

    private void begin() {
        if (!begun) {
            begun = true;
            caller.writeHead(status, head);
        }
    }

    /** Ends a complete stream. */
    void finishStream() {
        begin();
        end(caller::finishStream);
    }

    /** Writes the end; if that fails, the caller must not wait for it or take the next for it. */
    private void end(Runnable write) {
        ended = true;
        try {
            write.run();
        } catch (RuntimeException | Error e) {
            caller.abort();
            throw e;
        }
    }

    /** Writes a server's answer that was buffered as a whole. */
    void writeFull(byte[] body) {
        end(() -> caller.writeFull(status, head, body));
    }

    /** Takes the status of an error of this entry, if the caller can still get it. */
    void onProblem(int problemStatus) {
        status = begun ? status : problemStatus;
    }

    /** Writes an error of this entry, or breaks off an answer that has begun. */
    void writeProblem(HttpHeaders headers, byte[] problem) {
        if (begun) {
            abort();
        } else {
            end(() -> caller.writeFull(status, headers, problem));
        }
    }
}
