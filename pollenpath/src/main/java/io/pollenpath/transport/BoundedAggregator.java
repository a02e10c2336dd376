package io.pollenpath.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Aggregates the parts of a request into one message. A body above the limit is not aggregated; the
 * next handler receives {@link Event#BODY_TOO_LARGE} instead.
 */
final class BoundedAggregator extends HttpObjectAggregator {

    /** The user event that reports a body above the limit. */
    enum Event {
        /** The body of the current request exceeds the limit. */
        BODY_TOO_LARGE
    }

    private final int maxBodyBytes;

    BoundedAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        boolean tooLarge = HttpUtil.getContentLength(start, -1L) > maxBodyBytes;
        return tooLarge ? null : super.newContinueResponse(start, maxContentLength, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(Event.BODY_TOO_LARGE);
    }
}
