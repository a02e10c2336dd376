package io.pollenpath.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.pollenpath.protocol.wire.Frame;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts open peer links, their frames by kind, and refusals that this process sends by code. */
@ChannelHandler.Sharable
final class PeerFrameMetrics extends ChannelDuplexHandler {

    private final MetricRegistry metrics;
    private final Map<Frame.BodyCase, Counter> received = new ConcurrentHashMap<>();
    private final Map<Frame.BodyCase, Counter> sent = new ConcurrentHashMap<>();

    PeerFrameMetrics(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        metrics.counter("peer_links").inc();
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        metrics.counter("peer_links").dec();
        context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Frame frame) {
            count(received, "peer_frames_received_total", frame);
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof Frame frame) {
            count(sent, "peer_frames_sent_total", frame);
            if (frame.hasRefused()) {
                MetricNames.count(metrics, "refused_total", "code", frame.getRefused().getCode());
            }
        }
        context.write(message, promise);
    }

    private void count(Map<Frame.BodyCase, Counter> counters, String family, Frame frame) {
        counters.computeIfAbsent(frame.getBodyCase(), body -> counter(family, body)).inc();
    }

    private Counter counter(String family, Frame.BodyCase body) {
        String kind = body.name().toLowerCase(Locale.ROOT);
        return metrics.counter(MetricNames.of(family, "kind", kind));
    }
}
