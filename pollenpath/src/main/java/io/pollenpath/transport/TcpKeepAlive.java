package io.pollenpath.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Makes connections notice a peer that has gone silent without closing them. */
public final class TcpKeepAlive {

    private static final int IDLE_S = 1;
    private static final int INTERVAL_S = 1;
    private static final int PROBES = 2;

    private TcpKeepAlive() {}

    /**
     * Sets short keep-alive probes on the connections that a bootstrap opens.
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
