package io.pollenpath.transport.serving;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.pollenpath.transport.FairReading;
import io.pollenpath.transport.HttpRequestCodec;
import io.pollenpath.transport.ServerSockets;

/** Accepts the HTTP connections of callers for a gateway. */
public final class GatewayServer implements AutoCloseable {

    private static final int BACKLOG = 1_024;
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Headers up to this size are read, also those above the limit that is in force. */
    private static final int MAX_HEADER_BYTES = 65_536;

    private final Channel listener;

    /**
     * Starts listening.
     *
     * @param loop the event loop of the gateway, not null
     * @param host the IP address to listen on, not null
     * @param port the TCP port
     * @param gateway the gateway that handles the requests, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public GatewayServer(EventLoop loop, String host, int port, Gateway gateway) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        addHandlers(channel, gateway);
                                    }
                                });
        listener = ServerSockets.bind(FairReading.enable(bootstrap), host, port);
    }

    private static void addHandlers(SocketChannel channel, Gateway gateway) {
        int maxHeaderBytes = Math.max(gateway.limits().maxHeaderBytes(), MAX_HEADER_BYTES);
        channel.pipeline()
                .addLast(
                        new HttpRequestCodec(decoderConfig(maxHeaderBytes)),
                        new CallerRequestReader(gateway),
                        new CallerConnection(gateway));
    }

    private static HttpDecoderConfig decoderConfig(int maxHeaderBytes) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }
}
