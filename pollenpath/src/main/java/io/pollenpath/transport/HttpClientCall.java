package io.pollenpath.transport;

import io.netty.channel.Channel;
import io.netty.channel.pool.ChannelPool;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CancellationException;

/** An HTTP call in progress, from the request until the end of its answer. */
public final class HttpClientCall {

    private final ChannelPool pool;
    private final HttpClient.Listener listener;
    private Channel channel;
    private boolean cancelled;
    private boolean ended;

    HttpClientCall(ChannelPool pool, HttpClient.Listener listener) {
        this.pool = pool;
        this.listener = listener;
    }

    void start(Channel newChannel, FullHttpRequest request) {
        if (newChannel.eventLoop().inEventLoop()) {
            startOnLoop(newChannel, request);
        } else {
            newChannel.eventLoop().execute(() -> startOnLoop(newChannel, request));
        }
    }

    private void startOnLoop(Channel newChannel, FullHttpRequest request) {
        synchronized (this) {
            channel = newChannel;
            if (cancelled) {
                request.release();
                pool.release(newChannel);
                endWithFailure(new CancellationException("the call was cancelled"), false);
                return;
            }
        }
        newChannel.pipeline().get(HttpClientHandler.class).begin(this);
        newChannel.writeAndFlush(request);
    }

    /** Cancels the call and closes its connection, so that the server notices the cancellation. */
    public void cancel() {
        Channel toClose;
        synchronized (this) {
            cancelled = true;
            toClose = ended ? null : channel;
        }
        if (toClose != null) {
            toClose.close();
        }
    }

    /**
     * Pauses or resumes reading the answer, to apply backpressure to the server.
     *
     * @param reading true to resume, false to pause
     */
    public synchronized void setReading(boolean reading) {
        if (channel != null && !ended) {
            channel.config().setAutoRead(reading);
        }
    }

    void onHead(int status, HttpHeaders headers) {
        listener.onHead(status, headers);
    }

    void onData(byte[] piece) {
        listener.onData(piece);
    }

    void onEnd(boolean reusable) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        channel.config().setAutoRead(true);
        if (!reusable) {
            channel.close();
        }
        pool.release(channel);
        listener.onEnd();
    }

    void onFailure(Throwable cause) {
        if (endWithFailure(cause, true)) {
            pool.release(channel);
        }
    }

    private boolean endWithFailure(Throwable cause, boolean sent) {
        synchronized (this) {
            if (ended) {
                return false;
            }
            ended = true;
        }
        listener.onFailure(cause, sent);
        return true;
    }
}
