package io.pollenpath.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.AbstractChannelPoolMap;
import io.netty.channel.pool.ChannelHealthChecker;
import io.netty.channel.pool.ChannelPool;
import io.netty.channel.pool.FixedChannelPool;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/** Sends HTTP/1.1 requests over pooled connections. */
public final class HttpClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final long ACQUIRE_TIMEOUT_MS = 2_000;
    private static final int MAX_WAITING_CALLS_PER_SERVER = 256;

    /** The largest answer that is collected; a longer one could fill the heap. */
    private static final int MAX_COLLECTED_BYTES = 16_777_216;

    /** The part of the heap that the collected answers of all calls may use together. */
    private static final int COLLECTED_PER_HEAP = 8;

    private final AbstractChannelPoolMap<HttpAddress, ChannelPool> pools;
    private final CollectedBytes collected;

    /**
     * Creates a client that opens a connection whenever all connections to a server are in use.
     *
     * @param loops the event loops on which connections run, not null
     */
    public HttpClient(NettyLoops loops) {
        this(loops, Runtime.getRuntime().maxMemory() / COLLECTED_PER_HEAP);
    }

    /** Creates a client that collects answers up to a number of bytes, all calls together. */
    HttpClient(NettyLoops loops, long maxCollectedBytes) {
        this(
                loops,
                maxCollectedBytes,
                (bootstrap, trouble) ->
                        new SimpleChannelPool(
                                bootstrap, new PoolHandler(trouble), isUsable(trouble)));
    }

    /**
     * Creates a client with a bounded number of connections to each server. Further calls wait for
     * a connection, and fail if none becomes free within two seconds or too many calls wait.
     *
     * @param loops the event loops on which connections run, not null
     * @param maxConnectionsPerServer the maximum number of connections to one server, at least 1
     * @return the client
     */
    public static HttpClient bounded(NettyLoops loops, int maxConnectionsPerServer) {
        return new HttpClient(
                loops,
                Runtime.getRuntime().maxMemory() / COLLECTED_PER_HEAP,
                (bootstrap, trouble) ->
                        new FixedChannelPool(
                                bootstrap,
                                new PoolHandler(trouble),
                                isUsable(trouble),
                                FixedChannelPool.AcquireTimeoutAction.FAIL,
                                ACQUIRE_TIMEOUT_MS,
                                maxConnectionsPerServer,
                                MAX_WAITING_CALLS_PER_SERVER));
    }

    private HttpClient(
            NettyLoops loops,
            long maxCollectedBytes,
            BiFunction<Bootstrap, ServerTrouble, ChannelPool> newPool) {
        collected = new CollectedBytes(maxCollectedBytes);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loops.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        FairReading.enable(bootstrap);
        pools =
                new AbstractChannelPoolMap<>() {
                    @Override
                    protected ChannelPool newPool(HttpAddress address) {
                        return newPool.apply(
                                bootstrap.clone().remoteAddress(address.host(), address.port()),
                                new ServerTrouble());
                    }
                };
    }

    /** Uses an idle connection again unless its server has lately been out of step. */
    private static ChannelHealthChecker isUsable(ServerTrouble trouble) {
        return channel -> {
            boolean usable = channel.isActive() && !trouble.isRecent(System.nanoTime());
            return channel.eventLoop().newSucceededFuture(usable);
        };
    }

    /** Receives a streamed answer. All calls come from one event loop. */
    public interface Listener {

        /**
         * Receives the status and headers, before any data.
         *
         * @param status the HTTP status
         * @param headers the headers
         */
        void onHead(int status, HttpHeaders headers);

        /**
         * Receives the next bytes of the body.
         *
         * @param piece the bytes
         */
        void onData(byte[] piece);

        /** Receives the end of the answer; no call follows. */
        void onEnd();

        /**
         * Receives the failure of the call; no call follows.
         *
         * @param cause why it failed
         * @param sent whether the request may have reached the server; false only if it certainly
         *     did not
         */
        void onFailure(Throwable cause, boolean sent);
    }

    /**
     * A request to send.
     *
     * @param address the server, not null
     * @param method the method in upper case, not null
     * @param path the path, with the query if there is one, not null
     * @param headers the headers, not null
     * @param body the body, not null
     */
    public record Request(
            HttpAddress address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body) {}

    /**
     * Sends a request and streams the answer.
     *
     * @param request the request, not null
     * @param listener receives the answer, not null
     * @return the call in progress
     */
    public HttpClientCall stream(Request request, Listener listener) {
        ChannelPool pool = pools.get(request.address());
        HttpClientCall call = new HttpClientCall(pool, listener);
        pool.acquire()
                .addListener(
                        (Future<Channel> acquired) -> {
                            if (acquired.isSuccess()) {
                                call.start(acquired.getNow(), toNetty(request));
                            } else {
                                listener.onFailure(acquired.cause(), false);
                            }
                        });
        return call;
    }

    /**
     * Sends a request and collects the whole answer in memory, up to 16 MiB, and up to an eighth of
     * the heap for all calls together. Cancelling or timing out the future cancels the call, and so
     * does an answer for which there is no room.
     *
     * @param request the request, not null
     * @return the answer; completes exceptionally with {@link HttpCallException} if the call fails
     */
    public CompletableFuture<HttpReply> send(Request request) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        AnswerCollector collector = new AnswerCollector(reply, collected);
        HttpClientCall call = stream(request, collector);
        reply.whenComplete(
                (answer, failure) -> {
                    collector.release();
                    if (failure != null) {
                        call.cancel();
                    }
                });
        return reply;
    }

    /**
     * Opens a connection or takes an open one from the pool, and returns it to the pool for the
     * next request.
     *
     * @param address the server, not null
     * @return completes once connected, or exceptionally with {@link HttpCallException}
     */
    public CompletableFuture<Void> connect(HttpAddress address) {
        CompletableFuture<Void> connected = new CompletableFuture<>();
        ChannelPool pool = pools.get(address);
        pool.acquire()
                .addListener(
                        (Future<Channel> acquired) -> {
                            if (acquired.isSuccess()) {
                                pool.release(acquired.getNow());
                                connected.complete(null);
                            } else {
                                connected.completeExceptionally(
                                        new HttpCallException(acquired.cause(), false));
                            }
                        });
        return connected;
    }

    private static FullHttpRequest toNetty(Request request) {
        FullHttpRequest nettyRequest =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.path(),
                        Unpooled.wrappedBuffer(request.body()));
        nettyRequest.headers().set(HttpHeaderNames.HOST, request.address().toString());
        request.headers().forEach((name, value) -> nettyRequest.headers().set(name, value));
        HttpUtil.setContentLength(nettyRequest, request.body().length);
        return nettyRequest;
    }

    @Override
    public void close() {
        pools.close();
    }

    private static final class PoolHandler extends AbstractChannelPoolHandler {
        private final ServerTrouble trouble;

        PoolHandler(ServerTrouble trouble) {
            this.trouble = trouble;
        }

        @Override
        public void channelCreated(Channel channel) {
            HttpAnswerCodec codec = new HttpAnswerCodec(new HttpDecoderConfig());
            channel.pipeline().addLast(codec, new HttpClientHandler(codec, trouble));
        }
    }

    private static final class AnswerCollector implements Listener {
        private final CompletableFuture<HttpReply> reply;
        private final CollectedBytes collected;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private HttpHeaders headers;
        private long bytes;
        private boolean released;

        AnswerCollector(CompletableFuture<HttpReply> reply, CollectedBytes collected) {
            this.reply = reply;
            this.collected = collected;
        }

        /** Counts a piece; returns whether there is room for it. */
        private synchronized boolean count(int piece) {
            if (released) {
                return false;
            }
            boolean room = collected.add(bytes, piece);
            bytes += piece;
            return room;
        }

        /** Gives back the memory of an answer that was passed on or has failed. */
        synchronized void release() {
            if (!released) {
                released = true;
                collected.remove(bytes);
            }
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = newHeaders;
        }

        @Override
        public void onData(byte[] piece) {
            if (body.size() + piece.length > MAX_COLLECTED_BYTES) {
                onFailure(new IOException("the answer exceeds " + MAX_COLLECTED_BYTES), true);
                return;
            }
            if (!count(piece.length)) {
                onFailure(new IOException("the answers to all calls are too large"), true);
                return;
            }
            body.writeBytes(piece);
        }

        @Override
        public void onEnd() {
            reply.complete(new HttpReply(status, headers, body.toByteArray()));
        }

        @Override
        public void onFailure(Throwable cause, boolean sent) {
            reply.completeExceptionally(new HttpCallException(cause, sent));
        }
    }
}
