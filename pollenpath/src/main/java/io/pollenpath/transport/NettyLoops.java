package io.pollenpath.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** The Netty event loops that all connections of a process share. */
public final class NettyLoops implements AutoCloseable {

    private static final long QUIET_PERIOD_MS = 0;
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final EventLoopGroup group;

    /**
     * Creates the event loops.
     *
     * @param threads the number of event loops, one thread each, at least 1
     */
    public NettyLoops(int threads) {
        group = new NioEventLoopGroup(threads, new DefaultThreadFactory("traffic", true));
    }

    /**
     * Returns the event loop group.
     *
     * @return the event loop group
     */
    public EventLoopGroup group() {
        return group;
    }

    @Override
    public void close() {
        group.shutdownGracefully(QUIET_PERIOD_MS, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
