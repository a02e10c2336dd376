package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;

/** Server for peer links. */
public final class PeerServer implements AutoCloseable {

    private final Channel listener;

    /**
     * Starts the server with metrics that are not published.
     *
     * @param loops the event loops on which links run, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free port
     * @param handler receives the events and frames of the links, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public PeerServer(NettyLoops loops, String host, int port, PeerHandler handler) {
        this(loops, host, port, handler, new MetricRegistry());
    }

    /**
     * Starts the server.
     *
     * @param loops the event loops on which links run, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free port
     * @param handler receives the events and frames of the links, not null
     * @param metrics the registry for the frame counters, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public PeerServer(
            NettyLoops loops, String host, int port, PeerHandler handler, MetricRegistry metrics) {
        this(loops, host, port, PeerLimits.DEFAULT, ChannelSecurity.PLAINTEXT, handler, metrics);
    }

    /**
     * Starts the server.
     *
     * @param loops the event loops on which links run, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free port
     * @param limits the limits of the links, not null
     * @param security the transport security of new connections, not null
     * @param handler receives the events and frames of the links, not null
     * @param metrics the registry for the frame counters, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public PeerServer(
            NettyLoops loops,
            String host,
            int port,
            PeerLimits limits,
            ChannelSecurity security,
            PeerHandler handler,
            MetricRegistry metrics) {
        PeerPipeline pipeline = new PeerPipeline(handler, limits, false, security, metrics);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loops.group())
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new LinkLimiter(limits.maxLinks(), pipeline));
        listener = ServerSockets.bind(FairReading.enable(bootstrap), host, port);
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the port, also if 0 was requested
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    /** Initializes new links and closes those beyond the maximum number. */
    private static final class LinkLimiter extends ChannelInitializer<SocketChannel> {
        private final ChannelGroup links = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        private final int maxLinks;
        private final PeerPipeline pipeline;

        LinkLimiter(int maxLinks, PeerPipeline pipeline) {
            this.maxLinks = maxLinks;
            this.pipeline = pipeline;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            if (links.size() >= maxLinks) {
                TransportLogs.warn(
                        "peer_link_refused",
                        channel,
                        new IllegalStateException(
                                "the maximum number of links is reached; raise the limit"));
                channel.close();
                return;
            }
            links.add(channel);
            pipeline.initChannel(channel);
        }
    }
}
