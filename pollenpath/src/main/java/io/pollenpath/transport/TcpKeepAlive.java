package io.pollenpath.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Configures TCP keep-alive, to detect peers that became unreachable without closing the
 * connection.
 */
public final class TcpKeepAlive {

    private static final int IDLE_S = 1;
    private static final int INTERVAL_S = 1;
    private static final int PROBES = 2;

    private TcpKeepAlive() {}

    /**
     * Enables TCP keep-alive with short intervals on the connections that a bootstrap opens. An
     * unreachable peer is detected after about 3 seconds.
     *
     * @param bootstrap the bootstrap, not null
     */
    public static void enable(Bootstrap bootstrap) {
        bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }
}
