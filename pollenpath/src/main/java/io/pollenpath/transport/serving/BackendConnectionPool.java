package io.pollenpath.transport.serving;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.FairReading;
import io.pollenpath.transport.HttpAnswerCodec;
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

/** A pool of connections to backend servers. All calls are made on one event loop. */
final class BackendConnectionPool {

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_IDLE_PER_SERVER = 16;
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** How long a process that ends may still listen after it has closed a connection. */
    private static final long SETTLE_MS = 30;

    /** A connection idle for at most this time is not expected to be closed by the server yet. */
    private static final long RECENT_USE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final WireDialect dialect;
    private final Consumer<Throwable> onFailure;
    private final Map<String, Deque<BackendConnection>> idle = new HashMap<>();

    BackendConnectionPool(EventLoop loop, WireDialect dialect, Consumer<Throwable> onFailure) {
        this.loop = loop;
        this.dialect = dialect;
        this.onFailure = onFailure;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        TcpKeepAlive.enable(bootstrap);
        FairReading.enable(bootstrap);
    }

    /**
     * Provides an idle or new connection to a server.
     *
     * @param mayRetry whether the request may be sent again if the server has just closed the
     *     connection; if not, only new and very recently used connections are provided
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
        open(server, use, cause -> failed.accept(SendOutcome.NOT_SENT + ": " + cause));
    }

    /**
     * Checks whether a server accepts connections, by opening one. An accepted connection stays in
     * the pool.
     */
    void check(ServerInstance server, Consumer<Reachability> result) {
        open(
                server,
                opened -> {
                    opened.becomeIdle();
                    result.accept(Reachability.LISTENING);
                },
                cause -> result.accept(Reachability.of(cause)));
    }

    /**
     * Checks whether a server goes on running, by opening a connection and seeing that it stays
     * open. A process that ends may close its connections before it stops to listen.
     */
    void checkRunning(ServerInstance server, Consumer<Reachability> result) {
        open(
                server,
                opened ->
                        loop.schedule(
                                () -> onSettled(server, opened, result),
                                SETTLE_MS,
                                TimeUnit.MILLISECONDS),
                cause -> result.accept(Reachability.of(cause)));
    }

    private void onSettled(
            ServerInstance server, BackendConnection opened, Consumer<Reachability> result) {
        if (opened.isOpen()) {
            opened.becomeIdle();
            result.accept(Reachability.LISTENING);
        } else {
            check(server, result);
        }
    }

    private BackendConnection takeIdle(String serverId, boolean mayRetry, long nowNanos) {
        Deque<BackendConnection> connections = idle.get(serverId);
        while (connections != null && !connections.isEmpty()) {
            BackendConnection newest = connections.peekLast();
            boolean usable = newest.isReusable(nowNanos);
            if (usable && !mayRetry && newest.idleNanos(nowNanos) > RECENT_USE_NANOS) {
                return null;
            }
            connections.removeLast();
            if (usable) {
                return newest;
            }
            newest.close();
        }
        return null;
    }

    private void open(
            ServerInstance server, Consumer<BackendConnection> use, Consumer<Throwable> failed) {
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
                        failed.accept(future.cause());
                    }
                });
    }

    static HttpAnswerCodec codec() {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        return new HttpAnswerCodec(config);
    }

    /** Returns a connection to the pool after a complete answer. */
    void release(BackendConnection connection) {
        Deque<BackendConnection> connections =
                idle.computeIfAbsent(connection.serverId(), id -> new ArrayDeque<>());
        connections.addLast(connection);
        if (connections.size() > MAX_IDLE_PER_SERVER) {
            connections.removeFirst().close();
        }
    }

    /** Hears of a connection whose work failed. */
    void onFailure(Throwable cause) {
        onFailure.accept(cause);
    }

    /** Removes a closed connection from the pool. */
    void remove(BackendConnection connection) {
        Deque<BackendConnection> connections = idle.get(connection.serverId());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** Closes the idle connections to all servers except the given ones. */
    void retainServers(Set<String> serverIds) {
        List<String> removed = new ArrayList<>(idle.keySet());
        removed.removeAll(serverIds);
        for (String id : removed) {
            List.copyOf(idle.remove(id)).forEach(BackendConnection::close);
        }
    }

    /** Closes idle connections that the server may be about to close. */
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
