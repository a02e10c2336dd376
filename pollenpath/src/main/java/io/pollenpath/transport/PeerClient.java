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

/** Maintains a link to a peer and reconnects with exponential backoff and jitter until closed. */
public final class PeerClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MIN_RECONNECT_DELAY_MS = 50;
    private static final int MAX_RECONNECT_DELAY_MS = 2_000;

    private final Bootstrap bootstrap;
    private final HttpAddress address;
    private final PeerHandler handler;
    private volatile PeerChannel current;
    private volatile boolean closed;
    private int failedAttempts;

    /**
     * Creates a client and starts to connect.
     *
     * @param loops the event loops on which links run, not null
     * @param address the address of the peer, not null
     * @param handler receives the events and frames of the link, not null
     */
    public PeerClient(NettyLoops loops, HttpAddress address, PeerHandler handler) {
        this(loops, address, PeerLimits.DEFAULT, ChannelSecurity.PLAINTEXT, handler);
    }

    /**
     * Creates a client and starts to connect.
     *
     * @param loops the event loops on which links run, not null
     * @param address the address of the peer, not null
     * @param limits the limits of the link, not null
     * @param security the transport security of new connections, not null
     * @param handler receives the events and frames of the link, not null
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
                                        new ReconnectingHandler(handler),
                                        limits,
                                        true,
                                        security,
                                        new MetricRegistry()));
        FairReading.enable(bootstrap);
        connect();
    }

    private void connect() {
        if (closed) {
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address.host(), address.port());
        connecting.addListener(
                result -> {
                    if (!result.isSuccess()) {
                        notifyIfRefused(result.cause());
                        scheduleReconnect(connecting);
                    }
                });
    }

    private void notifyIfRefused(Throwable cause) {
        boolean timedOut = cause instanceof ConnectTimeoutException;
        if (cause instanceof ConnectException && !timedOut) {
            handler.onConnectionRefused();
        }
    }

    private void scheduleReconnect(ChannelFuture failed) {
        int maxDelayMs =
                Math.min(
                        MAX_RECONNECT_DELAY_MS,
                        MIN_RECONNECT_DELAY_MS << Math.min(failedAttempts, 10));
        failedAttempts++;
        int delayMs = ThreadLocalRandom.current().nextInt(MIN_RECONNECT_DELAY_MS, maxDelayMs + 1);
        failed.channel().eventLoop().schedule(this::connect, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the current link.
     *
     * @return the link, or null while not connected
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

    private final class ReconnectingHandler implements PeerHandler {
        private final PeerHandler handler;

        ReconnectingHandler(PeerHandler handler) {
            this.handler = handler;
        }

        @Override
        public void onOpen(PeerChannel peer) {
            if (closed) {
                peer.close();
                return;
            }
            failedAttempts = 0;
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
                    .schedule(
                            PeerClient.this::connect,
                            MIN_RECONNECT_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
