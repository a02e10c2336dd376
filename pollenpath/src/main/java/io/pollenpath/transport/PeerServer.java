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

/** Listens for peer links. */
public final class PeerServer implements AutoCloseable {

    private final Channel listener;

    /**
     * Starts listening.
     *
     * @param loops the event loops, not null
     * @param host the IP number to listen on, not null
     * @param port the port; 0 for any free one
     * @param handler takes the links and frames, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public PeerServer(NettyLoops loops, String host, int port, PeerHandler handler) {
        this(loops, host, port, handler, new MetricRegistry());
    }

    /**
     * Starts listening and counts the frames.
     *
     * @param loops the event loops, not null
     * @param host the IP number to listen on, not null
     * @param port the port; 0 for any free one
     * @param handler takes the links and frames, not null
     * @param metrics takes the counts, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public PeerServer(
            NettyLoops loops, String host, int port, PeerHandler handler, MetricRegistry metrics) {
        this(loops, host, port, PeerLimits.DEFAULT, ChannelSecurity.PLAINTEXT, handler, metrics);
    }

    /**
     * Starts listening and counts the frames.
     *
     * @param loops the event loops, not null
     * @param host the IP number to listen on, not null
     * @param port the port; 0 for any free one
     * @param limits the bounds, not null
     * @param security secures new connections, not null
     * @param handler takes the links and frames, not null
     * @param metrics takes the counts, not null
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
                        .childHandler(new BoundedLinks(limits.maxLinks(), pipeline));
        listener = ServerSockets.bind(bootstrap, host, port);
    }

    /**
     * Returns the port on which it listens.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    /** Closes links beyond a bound before they are set up. */
    private static final class BoundedLinks extends ChannelInitializer<SocketChannel> {
        private final ChannelGroup links = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        private final int maxLinks;
        private final PeerPipeline pipeline;

        BoundedLinks(int maxLinks, PeerPipeline pipeline) {
            this.maxLinks = maxLinks;
            this.pipeline = pipeline;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            if (links.size() >= maxLinks) {
                TransportLogs.warn(
                        "peer_link_refused",
                        channel,
                        new IllegalStateException("too many links; raise the bound on links"));
                channel.close();
                return;
            }
            links.add(channel);
            pipeline.initChannel(channel);
        }
    }
}
