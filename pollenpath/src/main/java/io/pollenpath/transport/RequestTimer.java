package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Limits the time from the first to the last byte of a request. A timeout between reads would not
 * stop a caller that sends a byte at a time.
 */
final class RequestTimer extends ChannelInboundHandlerAdapter {

    /** The user event that reports a request which was not complete in time. */
    enum Event {
        /** The current request exceeds its time limit. */
        REQUEST_TOO_SLOW
    }

    private final int timeoutMs;
    private ScheduledFuture<?> timeout;

    RequestTimer(int timeoutMs) {
        this.timeoutMs = timeoutMs;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (timeout == null && message instanceof ByteBuf bytes && bytes.isReadable()) {
            timeout =
                    context.executor()
                            .schedule(() -> expire(context), timeoutMs, TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    private void expire(ChannelHandlerContext context) {
        timeout = null;
        context.fireUserEventTriggered(Event.REQUEST_TOO_SLOW);
    }

    /** Returns whether a request has been received in part. */
    boolean isReceiving() {
        return timeout != null;
    }

    /** Stops the timer, because the request is complete or was refused. */
    void stop() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stop();
        context.fireChannelInactive();
    }
}
