package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Sends the answer to one request. Methods that send may be called from any thread; they run in
 * order on the event loop of the connection.
 */
public final class HttpExchange {

    private final Channel channel;
    private final BooleanSupplier keepAlive;
    private final Runnable onComplete;
    private Runnable onClose = () -> {};
    private Runnable onWritable = () -> {};
    private boolean streaming;
    private boolean complete;
    private boolean keepsAlive;

    HttpExchange(Channel channel, BooleanSupplier keepAlive, Runnable onComplete) {
        this.channel = channel;
        this.keepAlive = keepAlive;
        this.onComplete = onComplete;
    }

    /**
     * Returns the event loop of the connection, on which callbacks run.
     *
     * @return the event loop
     */
    public EventLoop loop() {
        return channel.eventLoop();
    }

    /**
     * Sends a whole answer; does nothing if an answer was already started.
     *
     * @param status the HTTP status
     * @param contentType the media type, not null
     * @param headers additional headers, not null
     * @param body the body, not null
     */
    public void respond(int status, String contentType, Map<String, String> headers, byte[] body) {
        runOnLoop(() -> writeFullAnswer(status, contentType, headers, body));
    }

    private void writeFullAnswer(
            int status, String contentType, Map<String, String> headers, byte[] body) {
        if (complete || streaming) {
            return;
        }
        complete = true;
        ByteBuf content = Unpooled.wrappedBuffer(body);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        setHeaders(response, contentType, headers);
        HttpUtil.setContentLength(response, body.length);
        finish(response);
    }

    /**
     * Sends the status and headers of a streamed answer; does nothing if an answer was already
     * started.
     *
     * @param status the HTTP status
     * @param contentType the media type, not null
     * @param headers additional headers, not null
     */
    public void startStream(int status, String contentType, Map<String, String> headers) {
        runOnLoop(
                () -> {
                    if (complete || streaming) {
                        return;
                    }
                    streaming = true;
                    HttpResponse response =
                            new DefaultHttpResponse(
                                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
                    setHeaders(response, contentType, headers);
                    HttpUtil.setTransferEncodingChunked(response, true);
                    channel.writeAndFlush(response);
                });
    }

    /**
     * Sends the next bytes of a streamed answer; does nothing if no stream is open.
     *
     * @param piece the bytes, not null
     */
    public void write(byte[] piece) {
        runOnLoop(
                () -> {
                    if (streaming && !complete) {
                        channel.writeAndFlush(
                                new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
                    }
                });
    }

    /** Ends a streamed answer; does nothing if no stream is open. */
    public void endStream() {
        runOnLoop(
                () -> {
                    if (streaming && !complete) {
                        complete = true;
                        finish(LastHttpContent.EMPTY_LAST_CONTENT);
                    }
                });
    }

    /** Closes the connection without completing the answer. */
    public void abort() {
        channel.close();
    }

    /**
     * Returns whether the outbound buffer of the connection is below its high-water mark.
     *
     * @return false while the caller reads more slowly than this process writes
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /**
     * Sets the action to run if the connection closes before the answer is complete.
     *
     * @param action the action, called on the event loop, not null
     */
    public void onClose(Runnable action) {
        onClose = action;
    }

    /**
     * Sets the action to run when the connection becomes writable again.
     *
     * @param action the action, called on the event loop, not null
     */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    /**
     * Returns whether the connection stays open after this answer; false until the headers are set.
     */
    boolean keepsAlive() {
        return keepsAlive;
    }

    void channelClosed() {
        if (!complete) {
            complete = true;
            onClose.run();
        }
    }

    void channelWritable() {
        if (!complete) {
            onWritable.run();
        }
    }

    private void finish(Object last) {
        channel.writeAndFlush(last);
        onComplete.run();
    }

    private void setHeaders(
            HttpResponse response, String contentType, Map<String, String> headers) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        headers.forEach((name, value) -> response.headers().set(name, value));
        keepsAlive = keepAlive.getAsBoolean();
        if (!keepsAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void runOnLoop(Runnable action) {
        if (channel.eventLoop().inEventLoop()) {
            action.run();
        } else {
            channel.eventLoop().execute(action);
        }
    }
}
