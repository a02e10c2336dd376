package io.pollenpath.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/** Passes the answers that arrive on one connection to the call in progress. */
final class HttpClientHandler extends SimpleChannelInboundHandler<HttpObject> {

    /** The number of interim answers (100 Continue and the like) before a final one. */
    private static final int MAX_INTERIM_ANSWERS = 16;

    private final HttpAnswerCodec codec;
    private final ServerTrouble trouble;
    private HttpClientCall current;
    private boolean keepAlive;
    private boolean ended;
    private boolean interim;
    private int interimAnswers;

    /**
     * Creates the handler of one connection.
     *
     * @param codec decodes the answers of the connection, not null
     * @param trouble hears of bytes that belong to no call, not null
     */
    HttpClientHandler(HttpAnswerCodec codec, ServerTrouble trouble) {
        this.codec = codec;
        this.trouble = trouble;
    }

    void begin(HttpClientCall call) {
        current = call;
        keepAlive = true;
        ended = false;
        interim = false;
        interimAnswers = 0;
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
            readHead(context, response);
        }
        if (message instanceof HttpContent content && current != null) {
            readContent(content);
        }
    }

    private void readHead(ChannelHandlerContext context, HttpResponse response) {
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (!interim) {
            keepAlive = HttpUtil.isKeepAlive(response);
            current.onHead(response.status().code(), response.headers());
            return;
        }
        interimAnswers++;
        if (interimAnswers > MAX_INTERIM_ANSWERS) {
            fail(context, new IOException("more interim answers than " + MAX_INTERIM_ANSWERS));
        }
    }

    private void readContent(HttpContent content) {
        if (interim) {
            return;
        }
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
            trouble.record(System.nanoTime());
            fail(context, new IOException("bytes follow the answer"));
        } else if (ended && current != null) {
            finish();
        }
        context.fireChannelReadComplete();
    }

    private void finish() {
        HttpClientCall finished = current;
        current = null;
        finished.onEnd(keepAlive && !trouble.isRecent(System.nanoTime()));
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
