package io.pollenpath.transport.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServerInstance;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Carries one request from its arrival to its final answer, over as many sends as its route allows.
 * Plain answers are held until they are whole; events of a stream are passed on one by one, and a
 * broken stream goes on at another server after the last event that was passed on.
 */
final class ForwardedRequest implements BackendListener {

    private static final int MAX_HELD_ANSWER_BYTES = 8_388_608;
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final String EVENT_STREAM = "text/event-stream";

    private final Gateway gateway;
    private final CallerAnswer caller;
    private final RequestContext context;
    private final Set<String> tried = new HashSet<>();
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private int choices;
    private int sends;
    private boolean mayHaveRun;
    private boolean done;
    private long firstSentNanos;
    private ServerInstance server;
    private BackendConnection connection;
    private long progressNanos;
    private int status;
    private HttpHeaders head = EmptyHttpHeaders.INSTANCE;
    private WireDialect.ReplyKind kind;
    private boolean isStream;
    private boolean headPassedOn;
    private OptionalLong lastEventId;
    private long lastEventNanos;
    private int events;

    ForwardedRequest(Gateway gateway, CallerAnswer caller, RequestContext context) {
        this.gateway = gateway;
        this.caller = caller;
        this.context = context;
        lastEventId = context.facts().lastEventId();
    }

    RequestContext context() {
        return context;
    }

    Route route() {
        return context.route();
    }

    Set<String> tried() {
        return tried;
    }

    int sends() {
        return sends;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Notes that a server got the request and may be at work on it. */
    void assumeRun() {
        mayHaveRun = true;
    }

    boolean headPassedOn() {
        return headPassedOn;
    }

    boolean isDone() {
        return done;
    }

    int events() {
        return events;
    }

    ServerInstance server() {
        return server;
    }

    long timeLeftMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(context.deadlineNanos() - nowNanos);
    }

    /** Returns how long the request waited before it was first sent. */
    long waitedMs(long nowNanos) {
        long end = firstSentNanos == 0 ? nowNanos : firstSentNanos;
        return TimeUnit.NANOSECONDS.toMillis(end - context.arrivedNanos());
    }

    /** Returns for how long the present server has sent nothing; 0 while none has the request. */
    long silenceMs(long nowNanos) {
        return server == null ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - progressNanos);
    }

    /** Sends the request to a server. */
    void send(ServerInstance target, BackendConnections connections, long nowNanos) {
        server = target;
        choices++;
        int choice = choices;
        progressNanos = nowNanos;
        if (firstSentNanos == 0) {
            firstSentNanos = nowNanos;
        }
        splitter.dropPartialEvent();
        body.reset();
        kind = null;
        connections.acquire(
                target,
                context.route().mayRunAgain(),
                nowNanos,
                opened -> start(choice, target, opened),
                cause -> {
                    if (isCurrent(choice)) {
                        onBroken(SendOutcome.NOT_SENT, cause);
                    }
                });
    }

    private boolean isCurrent(int choice) {
        return choice == choices && server != null && !done;
    }

    private void start(int choice, ServerInstance target, BackendConnection opened) {
        if (!isCurrent(choice)) {
            opened.close();
            return;
        }
        long nowNanos = System.nanoTime();
        connection = opened;
        sends++;
        tried.add(target.id());
        progressNanos = nowNanos;
        opened.send(request(nowNanos), context.facts().requestId(), this);
    }

    private FullHttpRequest request(long nowNanos) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(context.method()),
                        context.uri(),
                        Unpooled.wrappedBuffer(context.body()));
        request.headers().add(context.headers());
        long timeLeftMs = Math.max(1, timeLeftMs(nowNanos));
        gateway.dialect()
                .setForwardHeaders(
                        request.headers(),
                        new ForwardHeaders(server, timeLeftMs, context.account(), lastEventId));
        if (context.body().length > 0 || !context.method().equals("GET")) {
            HttpUtil.setContentLength(request, context.body().length);
        }
        return request;
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
        progressNanos = System.nanoTime();
        status = newStatus;
        kind = gateway.dialect().classify(newStatus, headers);
        if (kind == WireDialect.ReplyKind.ANSWER) {
            mayHaveRun = true;
        }
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
        isStream =
                context.route().streaming() && status == STATUS_OK && type.startsWith(EVENT_STREAM);
        if (!headPassedOn) {
            head = HopHeaders.withoutHop(headers);
        }
    }

    @Override
    public void onData(byte[] bytes) {
        progressNanos = System.nanoTime();
        if (kind == WireDialect.ReplyKind.ANSWER && isStream) {
            passOn(splitter.add(bytes));
            return;
        }
        body.writeBytes(bytes);
        if (body.size() > MAX_HELD_ANSWER_BYTES) {
            connection.cancel();
            onBroken(SendOutcome.UNKNOWN, "answer is larger than " + MAX_HELD_ANSWER_BYTES);
        }
    }

    private void passOn(List<EventSplitter.Event> whole) {
        for (EventSplitter.Event event : whole) {
            if (isRepeated(event)) {
                continue;
            }
            if (!headPassedOn) {
                headPassedOn = true;
                caller.head(status, head);
            }
            caller.piece(event.bytes());
            events++;
            if (event.id().isPresent()) {
                lastEventId = event.id();
            }
            noteGap();
        }
        if (connection != null && !caller.isWritable()) {
            connection.setReading(false);
        }
    }

    private boolean isRepeated(EventSplitter.Event event) {
        return event.id().isPresent()
                && lastEventId.isPresent()
                && event.id().getAsLong() <= lastEventId.getAsLong();
    }

    private void noteGap() {
        if (lastEventNanos != 0) {
            gateway.onEventGap(this, progressNanos - lastEventNanos, progressNanos);
        }
        lastEventNanos = progressNanos;
    }

    void onCallerWritable(boolean writable) {
        if (connection != null) {
            connection.setReading(writable);
        }
    }

    @Override
    public void onEnd() {
        connection = null;
        switch (kind) {
            case NOT_RUN -> endSend(SendOutcome.NOT_RUN, "server refused with " + status);
            case OTHER_SERVER -> endSend(SendOutcome.OTHER_SERVER, "address has another server");
            case UNPROVEN -> endSend(SendOutcome.UNKNOWN, "answer without proof");
            case ANSWER -> onWholeAnswer();
        }
    }

    private void onWholeAnswer() {
        if (isStream) {
            if (splitter.hasPartialEvent()) {
                endSend(SendOutcome.UNKNOWN, "stream ended within an event");
                return;
            }
            finish("answered");
            if (!headPassedOn) {
                caller.head(status, head);
            }
            caller.end();
            return;
        }
        if (headPassedOn) {
            endSend(SendOutcome.RUN_AND_FAILED, "resumed stream got " + status);
        } else if (status >= STATUS_SERVER_ERROR) {
            endSend(SendOutcome.RUN_AND_FAILED, "server failed with " + status);
        } else {
            finish("answered");
            caller.whole(status, head, body.toByteArray());
        }
    }

    @Override
    public void onBroken(SendOutcome outcome, String cause) {
        connection = null;
        endSend(outcome, cause);
    }

    private void endSend(SendOutcome outcome, String cause) {
        ServerInstance failed = server;
        server = null;
        if (!outcome.notRun()) {
            mayHaveRun = true;
        }
        gateway.onSendFailed(this, failed, outcome, cause);
    }

    /** Gives up on a server that has sent nothing for too long. */
    void abandonSilentServer() {
        if (connection != null) {
            connection.cancel();
            connection = null;
        }
        endSend(sends == 0 ? SendOutcome.NOT_SENT : SendOutcome.UNKNOWN, "server is silent");
    }

    /** Passes on the failure that the last server answered. */
    void passOnFailure() {
        finish("server_failed");
        caller.whole(status, head, body.toByteArray());
    }

    /** Answers with a failure of this process, or breaks off an answer that has begun. */
    void fail(int ownStatus, HttpHeaders headers, byte[] problem, String reason) {
        cancelSend();
        status = headPassedOn ? status : ownStatus;
        finish(reason);
        if (headPassedOn) {
            caller.abort();
        } else {
            caller.whole(ownStatus, headers, problem);
        }
    }

    void onCallerGone() {
        if (!done) {
            cancelSend();
            finish("caller_gone");
        }
    }

    private void cancelSend() {
        if (connection != null) {
            connection.cancel();
            connection = null;
        }
    }

    private void finish(String reason) {
        done = true;
        gateway.onDone(this, status, reason);
        server = null;
    }
}
