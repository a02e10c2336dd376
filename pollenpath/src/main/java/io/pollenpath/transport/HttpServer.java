package io.pollenpath.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** Listens for HTTP/1.1 requests. */
public final class HttpServer implements AutoCloseable {

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int MAX_REFUSED = 256;
    private static final int BACKLOG = 1_024;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ChannelGroup refused = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final HttpHandler handler;
    private final HttpLimits limits;
    private final ChannelSecurity security;
    private final Channel listener;
    private volatile boolean stopping;

    /**
     * Starts listening.
     *
     * @param loops the event loops, not null
     * @param host the IP number to listen on, not null
     * @param port the port; 0 for any free one
     * @param limits the bounds, not null
     * @param handler answers the requests, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public HttpServer(
            NettyLoops loops, String host, int port, HttpLimits limits, HttpHandler handler) {
        this(loops, host, port, limits, ChannelSecurity.PLAINTEXT, handler);
    }

    /**
     * Starts listening.
     *
     * @param loops the event loops, not null
     * @param host the IP number to listen on, not null
     * @param port the port; 0 for any free one
     * @param limits the bounds, not null
     * @param security secures new connections, not null
     * @param handler answers the requests, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public HttpServer(
            NettyLoops loops,
            String host,
            int port,
            HttpLimits limits,
            ChannelSecurity security,
            HttpHandler handler) {
        this.security = Objects.requireNonNull(security, "security");
        this.handler = Objects.requireNonNull(handler, "handler");
        this.limits = Objects.requireNonNull(limits, "limits");
        listener = ServerSockets.bind(bootstrap(loops), host, port);
    }

    private ServerBootstrap bootstrap(NettyLoops loops) {
        return new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, limits.servesHalfClosed())
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                initConnection(channel);
                            }
                        });
    }

    private void initConnection(SocketChannel channel) {
        if (connections.size() >= limits.maxConnections()) {
            refuse(channel);
            return;
        }
        connections.add(channel);
        security.secure(channel);
        RequestTimer timer = new RequestTimer(limits.requestTimeoutMs());
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(limits.idleTimeoutMs(), 0, 0, TimeUnit.MILLISECONDS),
                        timer,
                        new HttpServerCodec(
                                MAX_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES),
                        new BoundedAggregator(limits.maxBodyBytes()),
                        new HttpServerHandler(handler, limits, timer, () -> stopping));
    }

    /** Tells a caller that there is no room; beyond a bound of such callers, closes at once. */
    private void refuse(SocketChannel channel) {
        if (refused.size() >= MAX_REFUSED) {
            channel.close();
            return;
        }
        refused.add(channel);
        security.secure(channel);
        channel.pipeline().addLast(new HttpResponseEncoder(), new RefusingHandler());
    }

    /**
     * Returns the port on which it listens.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stops accepting connections; open ones end with their next answer. */
    public void stopAccepting() {
        stopping = true;
        listener.close().syncUninterruptibly();
    }

    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
        refused.close().awaitUninterruptibly();
    }
}
