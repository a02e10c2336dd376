package io.pollenpath.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import io.pollenpath.protocol.Problem;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import javax.net.ssl.SSLException;

/**
 * Passes the requests of one connection to the handler, one at a time.
 *
 * <p>A request that is refused is answered with a problem document after the answers to the
 * requests before it. The connection is then closed and further input is discarded.
 */
final class HttpServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final HttpHandler handler;
    private final HttpLimits limits;
    private final RequestTimer timer;
    private final BooleanSupplier stopping;
    private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private HttpExchange current;
    private Problem finalProblem;
    private boolean inputClosed;
    private boolean closing;

    /**
     * Creates the handler of one connection.
     *
     * @param handler handles the requests
     * @param limits the limits on requests
     * @param timer the request timer, placed before the codec in the pipeline
     * @param stopping returns whether connections are to be closed after their next answer
     */
    HttpServerHandler(
            HttpHandler handler, HttpLimits limits, RequestTimer timer, BooleanSupplier stopping) {
        this.handler = handler;
        this.limits = limits;
        this.timer = timer;
        this.stopping = stopping;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        timer.stop();
        if (finalProblem != null || closing) {
            return;
        }
        if (!request.decoderResult().isSuccess()) {
            refuse(context, HttpProblems.malformed(request.decoderResult().cause()));
        } else if (current == null) {
            serve(context, request);
        } else if (pipelined.size() < limits.maxPipelined()) {
            pipelined.addLast(request.retain());
        } else {
            refuse(context, HttpProblems.tooManyPipelined(limits.maxPipelined()));
        }
    }

    /** Sends a problem after the answers to earlier requests, and then closes the connection. */
    private void refuse(ChannelHandlerContext context, Problem problem) {
        if (finalProblem != null || closing) {
            return;
        }
        finalProblem = problem;
        if (current == null) {
            sendFinalProblem(context);
        }
    }

    private void sendFinalProblem(ChannelHandlerContext context) {
        closing = true;
        HttpExchange exchange =
                new HttpExchange(context.channel(), () -> false, () -> close(context));
        Map<String, String> headers = new HashMap<>();
        if (finalProblem.retryAfterMs() > 0) {
            headers.put("retry-after", Integer.toString(finalProblem.retryAfterSeconds()));
        }
        exchange.respond(
                finalProblem.status(), Problem.MEDIA_TYPE, headers, finalProblem.toJson(""));
    }

    private void serve(ChannelHandlerContext context, FullHttpRequest request) {
        boolean requestKeepsAlive = HttpUtil.isKeepAlive(request);
        HttpExchange exchange =
                new HttpExchange(
                        context.channel(),
                        () ->
                                requestKeepsAlive
                                        && !stopping.getAsBoolean()
                                        && expectsMoreRequests(),
                        () -> onAnswerComplete(context));
        current = exchange;
        try {
            handler.handle(toCall(request), exchange);
        } catch (RuntimeException e) {
            TransportLogs.warn("request_failed", context.channel(), e);
            Problem problem = HttpProblems.internal();
            exchange.respond(problem.status(), Problem.MEDIA_TYPE, Map.of(), problem.toJson(""));
        }
    }

    private boolean expectsMoreRequests() {
        return !inputClosed || !pipelined.isEmpty() || finalProblem != null;
    }

    private static HttpCall toCall(FullHttpRequest request) {
        byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        String uri = request.uri();
        int queryMark = uri.indexOf('?');
        String path = queryMark < 0 ? uri : uri.substring(0, queryMark);
        String query = queryMark < 0 ? "" : uri.substring(queryMark + 1);
        return new HttpCall(request.method().name(), path, query, request.headers(), body);
    }

    private void onAnswerComplete(ChannelHandlerContext context) {
        HttpExchange completed = current;
        current = null;
        if (!completed.keepsAlive()) {
            close(context);
            return;
        }
        FullHttpRequest next = pipelined.pollFirst();
        if (next != null) {
            serveLater(context, next);
        } else if (finalProblem != null) {
            sendFinalProblem(context);
        }
    }

    private void serveLater(ChannelHandlerContext context, FullHttpRequest next) {
        context.executor()
                .execute(
                        () -> {
                            try {
                                serve(context, next);
                            } finally {
                                next.release();
                            }
                        });
    }

    private void close(ChannelHandlerContext context) {
        closing = true;
        releasePipelined();
        LingeringClose.start(context.channel());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (current != null && context.channel().isWritable()) {
            current.channelWritable();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == BoundedAggregator.Event.BODY_TOO_LARGE) {
            timer.stop();
            refuse(context, HttpProblems.bodyTooLarge(limits.maxBodyBytes()));
        } else if (event == RequestTimer.Event.REQUEST_TOO_SLOW) {
            refuse(context, HttpProblems.tooSlow(limits.requestTimeoutMs()));
        } else if (event instanceof ChannelInputShutdownEvent) {
            onInputShutdown(context);
        } else if (event instanceof IdleStateEvent && current == null && !closing) {
            context.close();
        }
    }

    /**
     * Handles a half-close by the caller, which still gets the answers to its complete requests.
     */
    private void onInputShutdown(ChannelHandlerContext context) {
        inputClosed = true;
        if (timer.isReceiving()) {
            timer.stop();
            refuse(context, HttpProblems.incomplete());
        } else if (current == null) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releasePipelined();
        if (current != null) {
            current.channelClosed();
            current = null;
        }
    }

    private void releasePipelined() {
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException && !(cause.getCause() instanceof SSLException)) {
            timer.stop();
            refuse(context, HttpProblems.malformed(cause));
            return;
        }
        if (!(cause instanceof IOException)) {
            TransportLogs.warn("http_connection_failed", context.channel(), cause);
        }
        context.close();
    }
}
