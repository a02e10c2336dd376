package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.pollenpath.protocol.wire.Frame;
import java.util.concurrent.TimeUnit;

/**
 * Sets up the pipeline of a peer link. A frame is a protobuf message after its four-byte length.
 */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {

    /** The version of the frame format; links with frames of another version are closed. */
    static final int VERSION = 1;

    private static final int LENGTH_BYTES = 4;

    private final PeerHandler handler;
    private final PeerFrameMetrics metrics;

    private final int maxFrameBytes;
    private final int silenceMs;
    private final ChannelSecurity security;

    /**
     * Creates the initializer for either end of a link.
     *
     * @param handler receives the events and frames of the links
     * @param limits the limits of the links
     * @param closesSilentLinks whether a link is closed if its peer sends nothing for too long
     * @param security the transport security of new connections
     * @param metrics the registry for the frame counters
     */
    PeerPipeline(
            PeerHandler handler,
            PeerLimits limits,
            boolean closesSilentLinks,
            ChannelSecurity security,
            MetricRegistry metrics) {
        this.handler = handler;
        maxFrameBytes = limits.maxFrameBytes();
        silenceMs = closesSilentLinks ? limits.silenceMs() : 0;
        this.security = security;
        this.metrics = new PeerFrameMetrics(metrics);
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        security.secure(channel);
        channel.pipeline().addLast(new IdleStateHandler(silenceMs, 0, 0, TimeUnit.MILLISECONDS));
        addCodecs(channel.pipeline(), maxFrameBytes);
        channel.pipeline().addLast(metrics, new FrameHandler(handler));
    }

    /** Adds the codecs between bytes and frames. */
    static void addCodecs(ChannelPipeline pipeline, int maxFrameBytes) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new LengthFieldPrepender(LENGTH_BYTES),
                new ProtobufDecoder(Frame.getDefaultInstance()),
                new ProtobufEncoder());
    }

    private static final class FrameHandler extends SimpleChannelInboundHandler<Frame> {
        private final PeerHandler handler;
        private PeerChannel peer;

        FrameHandler(PeerHandler handler) {
            this.handler = handler;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            peer = new PeerChannel(context.channel());
            handler.onOpen(peer);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (frame.getVersion() != VERSION) {
                TransportLogs.warn(
                        "peer_frame_refused",
                        context.channel(),
                        new IllegalArgumentException(
                                "frame version "
                                        + frame.getVersion()
                                        + " is not supported; update the older process"));
                context.close();
                return;
            }
            handler.onFrame(peer, frame);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (context.channel().isWritable()) {
                handler.onWritable(peer);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                TransportLogs.warn(
                        "peer_silent",
                        context.channel(),
                        new IllegalStateException(
                                "nothing was received within the idle timeout; check the peer"));
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (peer != null) {
                handler.onClose(peer);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                TransportLogs.warn("peer_link_failed", context.channel(), cause);
            }
            context.close();
        }
    }
}
