package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** The answer of one server to one send of a request, as far as it has arrived. */
final class ServerAnswer {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String TOO_LARGE = "answer is too large to be buffered";
    private static final int MAX_BODY_BYTES = 8_388_608;

    /** How long an answer that ends like a head waits for the bytes that tell more. */
    private static final long END_WAIT_MS = 250;

    /** The number of events from which the server has worked on the whole prompt. */
    private static final int EVENTS_IF_IT_GOES_ON = 2;

    private EventSplitter splitter = new EventSplitter();
    private List<EventSplitter.Event> heldEvents = List.of();
    private final Predicate<String> isKnownId;
    private final BodyPauses pauses = new BodyPauses();
    private BodyBuffer body = new BodyBuffer();
    private Optional<String> flaw = Optional.empty();
    private WireDialect.ReplyKind kind;
    private AnswerFraming framing = AnswerFraming.NONE;
    private boolean stream;
    private int events;
    private boolean checkingEnd;
    private boolean kept;
    private boolean spoilt;

    /** Found once, since an end is judged again whenever bytes come behind it. */
    private Optional<BodyHeads> heads = Optional.empty();

    /**
     * Creates an answer of which nothing has arrived.
     *
     * @param isKnownId whether the connection has carried the request of an ID, which a second
     *     answer names too, not null
     */
    ServerAnswer(Predicate<String> isKnownId) {
        this.isKnownId = isKnownId;
    }

    /** Records the head of the answer, and whether the answer may be a stream. */
    void onHead(WireDialect.ReplyKind newKind, HttpHeaders headers, boolean mayBeStream) {
        kind = newKind;
        framing = AnswerFraming.of(headers);
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
        stream = mayBeStream && type.startsWith(EVENT_STREAM);
    }

    /** Returns the length that the head names for an answer that is buffered as a whole; or 0. */
    long declaredBytes(HttpHeaders headers) {
        boolean named = framing == AnswerFraming.LENGTH && !isForwardedStream();
        return named ? Long.parseLong(headers.get(HttpHeaderNames.CONTENT_LENGTH).trim()) : 0;
    }

    /** Finds a flaw in an answer whose named length is above that of any answer. */
    void checkLength(long bytes) {
        if (bytes > MAX_BODY_BYTES) {
            flaw = Optional.of(TOO_LARGE);
        }
    }

    /** Expects a body whose length is named and for which there is memory. */
    void expectBody(long bytes) {
        body.expect((int) bytes);
    }

    /** Returns the bytes in memory. */
    long bufferedBytes() {
        return isForwardedStream() ? splitter.bufferedBytes() : body.allocatedBytes();
    }

    /** Returns what the head says; null before it has arrived. */
    WireDialect.ReplyKind kind() {
        return kind;
    }

    /** Returns how the answer marks its end. */
    AnswerFraming framing() {
        return framing;
    }

    /** Returns whether this is an answer to the caller whose events are forwarded one by one. */
    boolean isForwardedStream() {
        return stream && kind == WireDialect.ReplyKind.ANSWER;
    }

    /**
     * Returns what the whole answer says. One that holds bytes of a second answer is not proven to
     * be whole.
     *
     * @param behind the bytes that came behind the answer, not null
     */
    WireDialect.ReplyKind kindAtEnd(byte[] behind) {
        return isFilled(behind) ? WireDialect.ReplyKind.UNPROVEN : kind;
    }

    /**
     * Returns why an answer that has ended can't be passed on; empty if it can.
     *
     * @param behind the bytes that came behind the answer, not null
     * @param status its status
     */
    Optional<SendFailure> failureAtEnd(byte[] behind, int status) {
        return switch (kindAtEnd(behind)) {
            case NOT_RUN ->
                    failure(
                            SendOutcome.NOT_RUN,
                            "server refused the request with status " + status);
            case OTHER_SERVER ->
                    failure(SendOutcome.OTHER_SERVER, "address belongs to another server");
            case UNPROVEN -> failure(outcomeIfFilled(), "answer could not be verified");
            case ANSWER -> failureOfAnswer(behind);
        };
    }

    private SendOutcome outcomeIfFilled() {
        boolean counted = framing == AnswerFraming.LENGTH;
        return outcomeOfFailure(counted ? SendOutcome.SPOILT : SendOutcome.UNKNOWN);
    }

    private Optional<SendFailure> failureOfAnswer(byte[] behind) {
        if (!isForwardedStream() && end(behind) == AnswerEnd.UNCLEAR) {
            return failure(SendOutcome.DOUBTFUL, "the answer ends like the begin of another one");
        }
        return isForwardedStream() && splitter.hasPartialEvent()
                ? failure(SendOutcome.UNKNOWN, "stream ended with an incomplete event")
                : Optional.empty();
    }

    private static Optional<SendFailure> failure(SendOutcome outcome, String cause) {
        return Optional.of(new SendFailure(outcome, cause));
    }

    /**
     * Returns whether a whole answer holds bytes of a second one, once no more of them are awaited.
     * An end that looks like a head and goes on behind it counts, whether a status came or not.
     *
     * @param behind the bytes that came behind the answer, not null
     */
    boolean isFilled(byte[] behind) {
        AnswerEnd end = end(behind);
        boolean goesOn = end == AnswerEnd.UNCLEAR && behind.length > 0;
        return goesOn || end == AnswerEnd.FILLED;
    }

    /** Returns what its end tells about a whole answer. */
    AnswerEnd end(byte[] behind) {
        if (kind != WireDialect.ReplyKind.ANSWER) {
            return AnswerEnd.OWN;
        }
        boolean mayGoOn = framing == AnswerFraming.LENGTH && behind.length == 0 && pauses.areAny();
        return AnswerEnd.worst(mayGoOn ? AnswerEnd.AWAITED : AnswerEnd.OWN, endOfBytes(behind));
    }

    private AnswerEnd endOfBytes(byte[] behind) {
        if (isForwardedStream()) {
            return AnswerEnd.ofStream(framing, !heldEvents.isEmpty(), behind);
        }
        if (heads.isEmpty()) {
            heads = Optional.of(BodyHeads.in(body.toByteArray(), isKnownId));
        }
        return AnswerEnd.of(framing, body, heads.get(), behind);
    }

    /**
     * Appends bytes of a stream and returns the events that they complete, up to the first bytes
     * that are no event. An event that ends with the head of an interim answer is held until the
     * next one shows whether it is a quotation: a second answer would go on with another head.
     *
     * @param bytes what came at once, not null
     * @param dialect knows the fields of an event, not null
     * @param nowNanos the current time, in nanoseconds
     */
    List<EventSplitter.Event> addEvents(byte[] bytes, WireDialect dialect, long nowNanos) {
        pauses.onPiece(nowNanos);
        List<EventSplitter.Event> events = new ArrayList<>();
        for (EventSplitter.Event event : splitter.add(bytes)) {
            BodyHeads found = BodyHeads.in(event.bytes(), isKnownId);
            if (!mayContain(event, found, dialect)) {
                flaw = Optional.of("bytes that are no event");
                return events;
            }
            if (!isSound(event, dialect)) {
                flaw = Optional.of("a line that is no field of an event");
                spoilt = true;
                return events;
            }
            events.addAll(takeHeldEvents());
            if (found.known().endsWithInterim(event.bytes())) {
                heldEvents = List.of(event);
            } else {
                events.add(event);
            }
        }
        if (splitter.isTooLong()) {
            flaw = Optional.of("event is too long");
        }
        return events;
    }

    /** Returns the event that was held, if any; it is held no longer. */
    List<EventSplitter.Event> takeHeldEvents() {
        List<EventSplitter.Event> taken = heldEvents;
        heldEvents = List.of();
        return taken;
    }

    /**
     * Returns whether an event can be a part of this stream. A second answer looks like a part of
     * it if the server has stopped within its stream, or if only the end of the connection ends the
     * stream. Text that names a status is no head while each line is a field of an event.
     */
    private static boolean mayContain(
            EventSplitter.Event event, BodyHeads found, WireDialect dialect) {
        return !found.isAny() || event.hasOnlyFieldsFromHead(dialect::isEventField);
    }

    /** Returns whether an event is one by its lines, if nothing else shows whose bytes it holds. */
    private boolean isSound(EventSplitter.Event event, WireDialect dialect) {
        return framing.provesParts() || event.hasOnlyFields(dialect::isEventField);
    }

    /**
     * Returns the outcome of the send if the answer has a flaw. A head shows where other bytes
     * begin; without one they may have begun in an event that was passed on.
     */
    SendOutcome outcomeOfFlaw() {
        return outcomeOfFailure(spoilt ? SendOutcome.SPOILT : SendOutcome.UNKNOWN);
    }

    /** Returns the outcome of the send for a failure; what was not passed on spoils nothing. */
    SendOutcome outcomeOfFailure(SendOutcome outcome) {
        boolean passedOn = isForwardedStream() && events > 0;
        return outcome == SendOutcome.SPOILT && !passedOn ? SendOutcome.UNKNOWN : outcome;
    }

    /** Returns why no more of the answer can be forwarded; empty if it can. */
    Optional<String> flaw() {
        return flaw;
    }

    /** Counts an event; returns whether the answer goes on after its first one since then. */
    boolean countEvent() {
        events++;
        return events == EVENTS_IF_IT_GOES_ON;
    }

    /** Returns the number of events that the server has sent. */
    int events() {
        return events;
    }

    /** Returns whether the answer went on after its first event. */
    boolean wentOn() {
        return events >= EVENTS_IF_IT_GOES_ON;
    }

    /**
     * Appends bytes of a body.
     *
     * @param bytes what came at once, not null
     * @param nowNanos the current time, in nanoseconds
     */
    void addBody(byte[] bytes, long nowNanos) {
        body.append(bytes);
        pauses.onPiece(nowNanos);
        heads = Optional.empty();
        if (body.length() > MAX_BODY_BYTES) {
            flaw = Optional.of(TOO_LARGE);
        }
    }

    /** Records that the answer is not read for now. */
    void onReadingStopped() {
        pauses.onReadingStopped();
    }

    /** Returns how long a whole answer with such an end waits for what tells more of it. */
    long endWaitMs(AnswerEnd end) {
        return switch (end) {
            case OWN, FILLED -> 0;
            case AWAITED -> Math.max(pauses.endWaitMs(), endsWithVersion() ? END_WAIT_MS : 0);
            case UNCLEAR -> Math.max(END_WAIT_MS, pauses.endWaitMs());
        };
    }

    private boolean endsWithVersion() {
        return heads.filter(BodyHeads::endsWithVersion).isPresent();
    }

    /** Returns the end of a buffered body as text. */
    String lastText(int maxBytes) {
        byte[] last = body.from(Math.max(0, body.length() - maxBytes));
        return new String(last, StandardCharsets.ISO_8859_1);
    }

    byte[] body() {
        return body.toByteArray();
    }

    /** Forgets the bytes of an answer that is not forwarded any further. */
    void discardBody() {
        body = new BodyBuffer();
        heads = Optional.empty();
        splitter = new EventSplitter();
        heldEvents = List.of();
    }

    /** Keeps a whole answer until another server gives a better one. */
    void keep() {
        kept = true;
    }

    /** Returns whether this whole answer is forwarded if no server gives a better one. */
    boolean isKept() {
        return kept;
    }

    /** Records that it is being checked whether the server still runs. */
    void setCheckingEnd(boolean newCheckingEnd) {
        checkingEnd = newCheckingEnd;
    }

    boolean isCheckingEnd() {
        return checkingEnd;
    }
}
