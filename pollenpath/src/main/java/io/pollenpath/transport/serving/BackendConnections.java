package io.pollenpath.transport.serving;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.TcpKeepAlive;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Opens connections to backend servers and keeps idle ones for the next request. All calls come
 * from one event loop.
 */
final class BackendConnections {

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_IDLE_PER_SERVER = 16;
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** An idle connection that is this young is not about to be closed by the server. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Bootstrap bootstrap;
    private final WireDialect dialect;
    private final Map<String, Deque<BackendConnection>> idle = new HashMap<>();

    BackendConnections(EventLoop loop, WireDialect dialect) {
        this.dialect = dialect;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        TcpKeepAlive.enable(bootstrap);
    }

    /**
     * Provides a connection to a server.
     *
     * @param mayRetry whether a request that meets a connection just closed may be sent again; if
     *     not, only new and very recently used connections serve
     */
    void acquire(
            ServerInstance server,
            boolean mayRetry,
            long nowNanos,
            Consumer<BackendConnection> use,
            Consumer<String> failed) {
        BackendConnection pooled = takeIdle(server.id(), mayRetry, nowNanos);
        if (pooled != null) {
            use.accept(pooled);
            return;
        }
        open(server, use, failed);
    }

    private BackendConnection takeIdle(String serverId, boolean mayRetry, long nowNanos) {
        Deque<BackendConnection> connections = idle.get(serverId);
        while (connections != null && !connections.isEmpty()) {
            BackendConnection youngest = connections.peekLast();
            boolean usable = youngest.isReusable(nowNanos);
            if (usable && !mayRetry && youngest.idleNanos(nowNanos) > FRESH_NANOS) {
                return null;
            }
            connections.removeLast();
            if (usable) {
                return youngest;
            }
            youngest.close();
        }
        return null;
    }

    private void open(
            ServerInstance server, Consumer<BackendConnection> use, Consumer<String> failed) {
        BackendConnection connection = new BackendConnection(this, server.id(), dialect);
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline().addLast(codec(), connection);
                                    }
                                })
                        .connect(server.host(), server.port());
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        use.accept(connection);
                    } else {
                        failed.accept(SendOutcome.NOT_SENT + ": " + future.cause());
                    }
                });
    }

    private static HttpClientCodec codec() {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        return new HttpClientCodec(config, false, false);
    }

    /** Takes back a connection whose answer was whole. */
    void release(BackendConnection connection) {
        Deque<BackendConnection> connections =
                idle.computeIfAbsent(connection.serverId(), id -> new ArrayDeque<>());
        connections.addLast(connection);
        if (connections.size() > MAX_IDLE_PER_SERVER) {
            connections.removeFirst().close();
        }
    }

    /** Drops a connection that is closed. */
    void forget(BackendConnection connection) {
        Deque<BackendConnection> connections = idle.get(connection.serverId());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** Closes the idle connections of servers that are gone. */
    void retain(Set<String> serverIds) {
        List<String> gone = new ArrayList<>(idle.keySet());
        gone.removeAll(serverIds);
        for (String id : gone) {
            List.copyOf(idle.remove(id)).forEach(BackendConnection::close);
        }
    }

    /** Closes idle connections that are past their use. */
    void closeStale(long nowNanos) {
        for (Deque<BackendConnection> connections : idle.values()) {
            for (BackendConnection connection : List.copyOf(connections)) {
                if (!connection.isReusable(nowNanos)) {
                    connection.close();
                }
            }
        }
    }
}
