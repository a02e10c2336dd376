package io.pollenpath.transport;

import io.netty.channel.socket.SocketChannel;

/** Adds transport security, such as TLS, to new connections. */
@FunctionalInterface
public interface ChannelSecurity {

    /** Plaintext connections without authentication of the peer. */
    ChannelSecurity PLAINTEXT = channel -> {};

    /**
     * Adds the security handlers to the pipeline of a new connection. The pipeline is still empty,
     * so that these handlers process the bytes before any other handler.
     *
     * @param channel the new connection, not null
     */
    void secure(SocketChannel channel);
}
