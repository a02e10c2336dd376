package io.pollenpath.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Bounds the bytes that are read from one connection before the other connections of its event loop
 * have their turn. The work for a byte may be that for a whole chunk or event.
 */
public final class FairReading {

    /** Some thousand of the smallest chunks, which take some milliseconds. */
    static final int MAX_BYTES_PER_TURN = 16_384;

    private static final int MIN_BUFFER_BYTES = 64;
    private static final int FIRST_BUFFER_BYTES = 2_048;

    private FairReading() {}

    /**
     * Bounds the reading on the connections that a bootstrap opens.
     *
     * @param bootstrap the bootstrap, not null
     * @return the bootstrap
     */
    public static Bootstrap enable(Bootstrap bootstrap) {
        return bootstrap.option(ChannelOption.RCVBUF_ALLOCATOR, allocator());
    }

    /**
     * Bounds the reading on the connections that a bootstrap accepts.
     *
     * @param bootstrap the bootstrap, not null
     * @return the bootstrap
     */
    public static ServerBootstrap enable(ServerBootstrap bootstrap) {
        return bootstrap.childOption(ChannelOption.RCVBUF_ALLOCATOR, allocator());
    }

    private static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(
                        MIN_BUFFER_BYTES, FIRST_BUFFER_BYTES, MAX_BYTES_PER_TURN)
                .maxMessagesPerRead(1);
    }
}
