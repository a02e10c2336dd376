package io.pollenpath.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** HTTP/1.1 server with limits on connections and request sizes. */
public final class HttpServer implements AutoCloseable {

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int MAX_REFUSED_CONNECTIONS = 256;
    private static final int BACKLOG = 1_024;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ChannelGroup refusedConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final HttpHandler handler;
    private final HttpLimits limits;
    private final ChannelSecurity security;
    private final Channel listener;
    private volatile boolean stopping;

    /**
     * Starts the server without transport security.
     *
     * @param loops the event loops on which connections run, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free port
     * @param limits the limits on connections and requests, not null
     * @param handler handles the requests, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public HttpServer(
            NettyLoops loops, String host, int port, HttpLimits limits, HttpHandler handler) {
        this(loops, host, port, limits, ChannelSecurity.PLAINTEXT, handler);
    }

    /**
     * Starts the server.
     *
     * @param loops the event loops on which connections run, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free port
     * @param limits the limits on connections and requests, not null
     * @param security the transport security of new connections, not null
     * @param handler handles the requests, not null
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
        listener = ServerSockets.bind(FairReading.enable(bootstrap(loops)), host, port);
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
                        new HttpRequestCodec(decoderConfig()),
                        new BoundedAggregator(limits.maxBodyBytes()),
                        new HttpServerHandler(handler, limits, timer, () -> stopping));
    }

    private HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES);
    }

    /**
     * Answers that the connection limit is reached. The number of connections that wait for this
     * answer is limited as well; beyond it, connections are closed without one.
     */
    private void refuse(SocketChannel channel) {
        if (refusedConnections.size() >= MAX_REFUSED_CONNECTIONS) {
            channel.close();
            return;
        }
        refusedConnections.add(channel);
        security.secure(channel);
        channel.pipeline().addLast(new HttpResponseEncoder(), new RefusingHandler());
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the port, also if 0 was requested
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stops accepting connections. Open connections are closed after their next answer. */
    public void stopAccepting() {
        stopping = true;
        listener.close().syncUninterruptibly();
    }

    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
        refusedConnections.close().awaitUninterruptibly();
    }
}
