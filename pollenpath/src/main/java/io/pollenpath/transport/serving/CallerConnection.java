package io.pollenpath.transport.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.pollenpath.coordination.serving.MemoryBudget;
import io.pollenpath.transport.HttpRequestCodec;
import io.pollenpath.util.GuardedSteps;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Serves one connection of a caller, one request at a time and in order. Pipelined requests wait. A
 * disconnect is detected also while an answer is pending.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerAnswer {

    private static final int MAX_PIPELINED = 16;

    /** The requests that are served before other connections have their turn. */
    private static final int MAX_SERVED_PER_TURN = 16;

    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    /** The time in which a caller must take an answer that is complete. */
    private static final long MAX_TAKE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** An answer that a caller has not taken waits for nothing and is not cut. */
    private static final MemoryBudget.Owner UNTAKEN_ANSWER =
            new MemoryBudget.Owner() {
                @Override
                public void onGranted() {}

                @Override
                public void onCut() {}
            };

    private final Gateway gateway;
    private final Queue<CallerRequest> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private ForwardedRequest current;
    private MemoryBudget.Share requestMemory;
    private boolean busy;
    private boolean keepAlive;

    /** Whether the latest answer is the last one of the connection. */
    private boolean ending;

    private boolean streaming;
    private boolean bodyAwaited;
    private int servedInTurn;
    private int unsentAnswers;
    private long idleSinceNanos;

    CallerConnection(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        idleSinceNanos = System.nanoTime();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        gateway.connections().add(this);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof CallerRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (pipelined.size() >= MAX_PIPELINED) {
            request.memory().close();
            ctx.close();
            return;
        }
        bodyAwaited = false;
        pipelined.add(request);
        serveNext();
    }

    /** Hears that all that was read in one turn has come, and goes on in the next one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (pipelined.isEmpty() && !bodyAwaited) {
            servedInTurn = 0;
        } else {
            ctx.executor().execute(this::beginTurn);
        }
        ctx.fireChannelReadComplete();
    }

    private void beginTurn() {
        servedInTurn = 0;
        serveNext();
    }

    private void serveNext() {
        if (busy || !mayServe()) {
            return;
        }
        CallerRequest request = pipelined.poll();
        if (request == null) {
            allowAwaitedBody();
            return;
        }
        busy = true;
        servedInTurn++;
        requestMemory = request.memory();
        keepAlive = request.isKeepAlive();
        streaming = false;
        GuardedSteps.run(() -> serve(request), this::onNotAccepted);
    }

    /** Returns whether the caller takes answers, none was the last, and it is this one's turn. */
    private boolean mayServe() {
        return context.channel().isActive()
                && isWritable()
                && !ending
                && servedInTurn < MAX_SERVED_PER_TURN;
    }

    private void serve(CallerRequest request) {
        ForwardedRequest accepted = gateway.accept(request, this);
        // If the request was answered at once, the next one may already have started.
        if (accepted != null && !accepted.isDone()) {
            current = accepted;
        }
    }

    /** Closes a connection whose request nobody owns. */
    private void onNotAccepted(Throwable cause) {
        abort();
        gateway.onFailure(cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == CallerRequestReader.Event.BODY_AWAITED) {
            bodyAwaited = true;
            serveNext();
            return;
        }
        ctx.fireUserEventTriggered(event);
    }

    /** Lets the caller send the body that it holds back, once all answers before it are written. */
    private void allowAwaitedBody() {
        if (bodyAwaited) {
            bodyAwaited = false;
            writeContinue();
        }
    }

    /**
     * Writes an interim answer past the codec, which counts each answer that it encodes as the one
     * to a request, and would take the final answer for that to the request behind.
     */
    private void writeContinue() {
        ByteBuf answer = Unpooled.copiedBuffer(CONTINUE, StandardCharsets.US_ASCII);
        context.pipeline().context(HttpRequestCodec.class).writeAndFlush(answer);
    }

    @Override
    public void writeFull(int status, HttpHeaders headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().add(headers);
        HttpUtil.setContentLength(response, body.length);
        finish(response, response, body.length);
    }

    @Override
    public void writeHead(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().add(headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        streaming = true;
        setConnectionHeader(response);
        closeOnFailure(context.write(response));
    }

    @Override
    public void writeChunk(byte[] bytes) {
        closeOnFailure(
                context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))));
    }

    /**
     * Closes the connection if a part of an answer can't be written, as when memory is short.
     * Otherwise the next part, or the next answer, would follow in its place.
     */
    private static void closeOnFailure(ChannelFuture written) {
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    @Override
    public void finishStream() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT, null, 0);
    }

    @Override
    public void abort() {
        current = null;
        releaseRequest();
        context.close();
    }

    private void finish(Object last, HttpResponse response, int bytes) {
        if (response != null) {
            setConnectionHeader(response);
        }
        current = null;
        busy = false;
        ending = !keepAlive;
        releaseRequest();
        unsentAnswers++;
        MemoryBudget.Share untaken = gateway.memory().open(UNTAKEN_ANSWER);
        untaken.hold(bytes);
        ChannelFuture sent = context.writeAndFlush(last);
        closeOnFailure(sent);
        sent.addListener(future -> onAnswerSent(untaken));
        if (ending) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
        serveNext();
    }

    /** Gives back the memory of the request that is served, which is sent to no server any more. */
    private void releaseRequest() {
        if (requestMemory != null) {
            requestMemory.close();
            requestMemory = null;
        }
    }

    private void onAnswerSent(MemoryBudget.Share untaken) {
        untaken.close();
        unsentAnswers--;
        idleSinceNanos = System.nanoTime();
    }

    private void setConnectionHeader(HttpResponse response) {
        if (gateway.isStopping()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Returns whether a complete answer waits for the caller to take it. */
    boolean hasUnsentAnswer() {
        return unsentAnswers > 0 && context.channel().isOpen();
    }

    /**
     * Closes the connection if it has had no request for at least the given time. A caller that is
     * slow to take its answer gets longer, though not for ever, whatever requests wait behind it.
     */
    void closeIfIdle(long nowNanos, long limitNanos) {
        boolean inUse = busy || (!pipelined.isEmpty() && !hasUnsentAnswer());
        long takeNanos = hasUnsentAnswer() ? MAX_TAKE_NANOS : 0;
        if (!inUse && nowNanos - idleSinceNanos >= Math.max(limitNanos, takeNanos)) {
            context.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (current != null) {
            current.reading().setCallerTakes(isWritable());
        }
        serveNext();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gateway.connections().remove(this);
        ForwardedRequest abandoned = current;
        current = null;
        GuardedSteps.runAll(
                gateway::onFailure,
                () -> abandon(abandoned),
                this::releaseRequest,
                this::releasePipelined,
                ctx::fireChannelInactive);
    }

    private static void abandon(ForwardedRequest abandoned) {
        if (abandoned != null) {
            abandoned.onCallerDisconnected();
        }
    }

    private void releasePipelined() {
        pipelined.forEach(request -> request.memory().close());
        pipelined.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        gateway.log().callerConnectionFailed(cause, streaming);
        ctx.close();
        gateway.onFailure(cause);
    }
}
