package io.pollenpath.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Utility methods for listening sockets. */
public final class ServerSockets {

    private ServerSockets() {}

    /**
     * Binds a server socket and blocks until it is listening.
     *
     * @param bootstrap the configured bootstrap, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free port
     * @return the listening channel
     * @throws IllegalStateException if the address can't be bound
     */
    public static Channel bind(ServerBootstrap bootstrap, String host, int port) {
        ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen on "
                            + host
                            + ":"
                            + port
                            + "; free the port or set another address",
                    bound.cause());
        }
        return bound.channel();
    }
}
