package io.pollenpath.transport.serving;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.transport.HttpAnswerCodec;
import io.pollenpath.util.GuardedSteps;
import java.io.IOException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An HTTP/1.1 connection to a backend server that carries one request at a time. Bytes without a
 * pending request or that are no valid HTTP response close the connection and are discarded.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d+)");
    private static final long DEFAULT_MAX_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** The number of interim answers (100 Continue and the like) before a final one. */
    private static final int MAX_INTERIM_ANSWERS = 16;

    private static final double KEEP_ALIVE_FRACTION = 0.7;

    private final BackendConnectionPool pool;
    private final String serverId;
    private final WireDialect dialect;
    private Channel channel;
    private HttpAnswerCodec codec;
    private BackendListener listener;
    private String requestId = "";
    private ChannelFuture writeFuture;
    private boolean ignoringResponse;
    private int interimAnswers;
    private boolean inAnswer;
    private boolean ended;
    private ScheduledFuture<?> endWait;
    private final CarriedRequests carried = new CarriedRequests();

    private final BodyPieces pieces = new BodyPieces();
    private boolean keepAlive;
    private boolean endsWithConnection;
    private String error = "";
    private long idleSinceNanos;
    private long maxIdleNanos = DEFAULT_MAX_IDLE_NANOS;

    BackendConnection(BackendConnectionPool pool, String serverId, WireDialect dialect) {
        this.pool = pool;
        this.serverId = serverId;
        this.dialect = dialect;
    }

    String serverId() {
        return serverId;
    }

    /** Returns the time since the connection became idle. */
    long idleNanos(long nowNanos) {
        return nowNanos - idleSinceNanos;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    /** Returns whether the server is expected to still keep the idle connection open. */
    boolean isReusable(long nowNanos) {
        return channel.isActive() && idleNanos(nowNanos) < maxIdleNanos;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        codec = ctx.pipeline().get(HttpAnswerCodec.class);
    }

    /** Sends a request; the listener receives its answer. */
    void send(FullHttpRequest request, String newRequestId, BackendListener newListener) {
        listener = newListener;
        requestId = newRequestId;
        ignoringResponse = false;
        interimAnswers = 0;
        inAnswer = false;
        ended = false;
        pieces.clear();
        carried.add(newRequestId);
        if (!channel.isActive()) {
            request.release();
            fail(SendOutcome.NOT_SENT, "connection closed before the send");
            return;
        }
        writeFuture = channel.writeAndFlush(request);
        writeFuture.addListener(
                future -> {
                    if (!future.isSuccess()) {
                        onWriteFailed(future.cause());
                    }
                });
    }

    /** Returns whether the request of an ID is among the latest of this connection. */
    boolean hasCarried(String id) {
        return carried.contains(id);
    }

    /**
     * Handles a failed write. The server may have received a part of the request, and may run it
     * from its head on: a write fails with the same error whether the socket has taken some of its
     * bytes or none.
     */
    private void onWriteFailed(Throwable cause) {
        fail(SendOutcome.UNKNOWN, "write: " + cause);
        close();
    }

    /**
     * Resets the connection, so that the server stops its work; the listener is not notified any
     * more. An ordinary close would still deliver bytes buffered during a network failure, and so
     * deliver a request that was abandoned long before.
     */
    void cancel() {
        listener = null;
        resetOnClose();
        close();
    }

    private void resetOnClose() {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The socket is closed already, though channelInactive may not have come yet.
        }
    }

    void close() {
        pool.remove(this);
        if (channel != null) {
            channel.close();
        }
    }

    /** Stops or resumes reading the answer. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (listener == null) {
            close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(outcomeOfFlaw(), "invalid HTTP response: " + message.decoderResult().cause());
            close();
            return;
        }
        if (message instanceof HttpResponse head) {
            onHead(head);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    /**
     * Returns the outcome of bytes that HTTP does not know. Behind a chunk they show that it was
     * filled up, up to bytes like its line end; within one, that is all that was.
     */
    private SendOutcome outcomeOfFlaw() {
        boolean behindChunk = inAnswer && codec.incompleteChunkBytes() == 0;
        return behindChunk ? SendOutcome.SPOILT : SendOutcome.UNKNOWN;
    }

    private void onHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            onInterimAnswer();
            return;
        }
        if (mayBeLate(head.headers())) {
            fail(SendOutcome.UNKNOWN, "the answer names no request and may be a late one");
            close();
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(head);
        endsWithConnection = AnswerFraming.of(head.headers()) == AnswerFraming.CLOSE;
        maxIdleNanos = maxIdleNanosOf(head.headers());
        ignoringResponse = !dialect.belongsTo(head.headers(), requestId);
        if (!ignoringResponse) {
            inAnswer = true;
            listener.onHead(head.status().code(), head.headers());
        }
    }

    /**
     * Returns whether an answer may belong to an earlier request as well as to the pending one. A
     * refusal that is late says nothing of whether the pending request runs.
     */
    private boolean mayBeLate(HttpHeaders headers) {
        boolean mustName = carried.areSeveral() && !requestId.isEmpty();
        return mustName && !dialect.namesRequest(headers);
    }

    private void onInterimAnswer() {
        ignoringResponse = true;
        interimAnswers++;
        if (interimAnswers > MAX_INTERIM_ANSWERS) {
            fail(SendOutcome.UNKNOWN, "more interim answers than " + MAX_INTERIM_ANSWERS);
            close();
        }
    }

    private static long maxIdleNanosOf(HttpHeaders headers) {
        String value = headers.get("Keep-Alive");
        if (value == null) {
            return DEFAULT_MAX_IDLE_NANOS;
        }
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value);
        if (!matcher.find()) {
            return DEFAULT_MAX_IDLE_NANOS;
        }
        double seconds = Double.parseDouble(matcher.group(1)) * KEEP_ALIVE_FRACTION;
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    private void onContent(HttpContent content) {
        if (listener == null) {
            return;
        }
        if (!ignoringResponse) {
            pieces.add(ByteBufUtil.getBytes(content.content()));
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        passOnPieces();
        if (listener == null) {
            return;
        }
        if (ignoringResponse) {
            ignoringResponse = false;
        } else if (error.isEmpty()) {
            codec.endAnswer();
            ended = true;
        }
    }

    /**
     * Passes on what has come in one turn, however small the parts are in which it came. What is
     * held back of a chunk that never gets whole is not passed on.
     */
    private void passOnPieces() {
        if (listener == null) {
            return;
        }
        byte[] bytes = pieces.take(listener.takesWholeChunks() ? codec.incompleteChunkBytes() : 0);
        if (bytes.length > 0) {
            listener.onData(bytes);
        }
    }

    /** Ends the answer once all that has come with its last bytes is there. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        passOnPieces();
        if (listener == null && codec.bytesBehind().length > 0) {
            close();
        } else if (listener != null && ended) {
            completeOrWait();
        }
        ctx.fireChannelReadComplete();
    }

    private void completeOrWait() {
        long waitMs = listener.endWaitMs(listener.judgeEnd(codec.bytesBehind()));
        if (!channel.isActive() || waitMs == 0) {
            complete();
        } else if (endWait == null) {
            setReading(true);
            BackendListener waiting = listener;
            endWait =
                    channel.eventLoop()
                            .schedule(() -> onEndWaitOver(waiting), waitMs, TimeUnit.MILLISECONDS);
        }
    }

    private void onEndWaitOver(BackendListener waiting) {
        if (waiting == listener && ended) {
            GuardedSteps.run(this::complete, channel.pipeline()::fireExceptionCaught);
        }
    }

    private void complete() {
        endWait = null;
        byte[] behind = codec.bytesBehind();
        boolean own = listener.judgeEnd(behind).isOwn();
        BackendListener completed = listener;
        listener = null;
        boolean endedByClose = endsWithConnection && !channel.isActive();
        boolean inStep = own && behind.length == 0 && writeFuture.isDone();
        boolean reusable = keepAlive && channel.isActive() && inStep;
        if (reusable) {
            becomeIdle();
        } else {
            close();
        }
        if (endedByClose) {
            completed.onEndByClose();
        } else {
            completed.onEnd(behind);
        }
    }

    /** Puts the connection into the pool. */
    void becomeIdle() {
        idleSinceNanos = System.nanoTime();
        setReading(true);
        pool.release(this);
    }

    private void fail(SendOutcome outcome, String cause) {
        passOnPieces();
        BackendListener completed = listener;
        listener = null;
        if (completed != null) {
            completed.onFailed(outcome, cause);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // The decoder ends a body delimited by connection close after this event; the error marks
        // it as incomplete.
        error = cause.toString();
        if (ended && listener != null && cause instanceof IOException) {
            close();
            complete();
            return;
        }
        fail(SendOutcome.UNKNOWN, error);
        close();
        pool.onFailure(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(this);
        if (ended && listener != null) {
            complete();
            return;
        }
        String state =
                inAnswer
                        ? "connection closed during the answer"
                        : "connection closed before the answer";
        fail(SendOutcome.UNKNOWN, error.isEmpty() ? state : error);
        ctx.fireChannelInactive();
    }
}
