package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.pollenpath.protocol.wire.Frame;
import java.net.ConnectException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Keeps one link to a peer open, connecting again after a loss until closed. */
public final class PeerClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MIN_RECONNECT_MS = 50;
    private static final int MAX_RECONNECT_MS = 2_000;

    private final Bootstrap bootstrap;
    private final HttpAddress address;
    private final PeerHandler handler;
    private volatile PeerChannel current;
    private volatile boolean closed;
    private int failures;

    /**
     * Starts connecting.
     *
     * @param loops the event loops, not null
     * @param address where the peer listens, not null
     * @param handler takes the links and frames, not null
     */
    public PeerClient(NettyLoops loops, HttpAddress address, PeerHandler handler) {
        this(loops, address, PeerLimits.DEFAULT, ChannelSecurity.PLAINTEXT, handler);
    }

    /**
     * Starts connecting.
     *
     * @param loops the event loops, not null
     * @param address where the peer listens, not null
     * @param limits the bounds, not null
     * @param security secures new connections, not null
     * @param handler takes the links and frames, not null
     */
    public PeerClient(
            NettyLoops loops,
            HttpAddress address,
            PeerLimits limits,
            ChannelSecurity security,
            PeerHandler handler) {
        this.address = address;
        this.handler = handler;
        bootstrap =
                new Bootstrap()
                        .group(loops.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new PeerPipeline(
                                        new Reconnecting(handler),
                                        limits,
                                        true,
                                        security,
                                        new MetricRegistry()));
        connect();
    }

    private void connect() {
        if (closed) {
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address.host(), address.port());
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        tellRefusal(done.cause());
                        connectLater(connecting);
                    }
                });
    }

    private void tellRefusal(Throwable cause) {
        boolean timedOut = cause instanceof ConnectTimeoutException;
        if (cause instanceof ConnectException && !timedOut) {
            handler.onConnectionRefused();
        }
    }

    private void connectLater(ChannelFuture failed) {
        int ceilingMs = Math.min(MAX_RECONNECT_MS, MIN_RECONNECT_MS << Math.min(failures, 10));
        failures++;
        int delayMs = ThreadLocalRandom.current().nextInt(MIN_RECONNECT_MS, ceilingMs + 1);
        failed.channel().eventLoop().schedule(this::connect, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the open link.
     *
     * @return the link, or null while there is none
     */
    public PeerChannel channel() {
        return current;
    }

    @Override
    public void close() {
        closed = true;
        PeerChannel open = current;
        if (open != null) {
            open.close();
        }
    }

    private final class Reconnecting implements PeerHandler {
        private final PeerHandler handler;

        Reconnecting(PeerHandler handler) {
            this.handler = handler;
        }

        @Override
        public void onOpen(PeerChannel peer) {
            if (closed) {
                peer.close();
                return;
            }
            failures = 0;
            current = peer;
            handler.onOpen(peer);
        }

        @Override
        public void onFrame(PeerChannel peer, Frame frame) {
            handler.onFrame(peer, frame);
        }

        @Override
        public void onWritable(PeerChannel peer) {
            handler.onWritable(peer);
        }

        @Override
        public void onClose(PeerChannel peer) {
            current = null;
            handler.onClose(peer);
            bootstrap
                    .config()
                    .group()
                    .schedule(PeerClient.this::connect, MIN_RECONNECT_MS, TimeUnit.MILLISECONDS);
        }
    }
}
