package io.pollenpath.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.pollenpath.protocol.Problem;

/**
 * Answers a connection beyond the connection limit with 503 and retry-after, and discards its
 * input.
 */
final class RefusingHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Problem problem = HttpProblems.tooManyConnections();
        byte[] body = problem.toJson("");
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(problem.status()),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE);
        response.headers().set(HttpHeaderNames.RETRY_AFTER, problem.retryAfterSeconds());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, body.length);
        context.writeAndFlush(response);
        LingeringClose.start(context.channel());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
