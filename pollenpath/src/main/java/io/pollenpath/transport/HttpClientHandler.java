package io.pollenpath.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/** Passes the answers that arrive on one connection to the call in progress. */
final class HttpClientHandler extends SimpleChannelInboundHandler<HttpObject> {

    private final HttpAnswerCodec codec;
    private HttpClientCall current;
    private boolean keepAlive;
    private boolean ended;

    /**
     * Creates the handler of one connection.
     *
     * @param codec decodes the answers of the connection, not null
     */
    HttpClientHandler(HttpAnswerCodec codec) {
        this.codec = codec;
    }

    void begin(HttpClientCall call) {
        current = call;
        keepAlive = true;
        ended = false;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (current == null) {
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(context, message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            if (SplicedHead.isIn(response)) {
                fail(context, new IOException("the head holds the status line of a second answer"));
                return;
            }
            keepAlive = HttpUtil.isKeepAlive(response);
            current.onHead(response.status().code(), response.headers());
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readContent(HttpContent content) {
        if (content.content().isReadable()) {
            byte[] piece = new byte[content.content().readableBytes()];
            content.content().readBytes(piece);
            current.onData(piece);
        }
        if (content instanceof LastHttpContent) {
            codec.endAnswer();
            ended = true;
        }
    }

    /**
     * Ends the call, once all that has come with its last bytes is there. Bytes behind an answer
     * show that it and what follows are out of step: it may hold the bytes of an earlier one.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean followed = codec.bytesBehind().length > 0;
        if (followed) {
            fail(context, new IOException("bytes follow the answer"));
        } else if (ended && current != null) {
            finish();
        }
        context.fireChannelReadComplete();
    }

    private void finish() {
        HttpClientCall finished = current;
        current = null;
        finished.onEnd(keepAlive);
    }

    private void fail(ChannelHandlerContext context, Throwable cause) {
        HttpClientCall failed = current;
        current = null;
        context.close();
        if (failed != null) {
            failed.onFailure(cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, new ClosedChannelException());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, cause instanceof IOException ? cause : new IOException(cause));
    }
}
