package io.pollenpath.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslHandler;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection in a way that lets the peer receive all data that was sent. Closing a socket
 * with unread input makes TCP reset the connection, and the peer may then lose that data.
 */
final class LingeringClose {

    private static final int LINGER_TIMEOUT_MS = 1_000;

    private LingeringClose() {}

    /**
     * Shuts down the output after pending writes. The connection is closed when the peer closes it
     * or after a timeout.
     */
    static void start(Channel channel) {
        if (!(channel instanceof SocketChannel socket)) {
            channel.close();
            return;
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        written -> {
                            if (!written.isSuccess() || socket.isInputShutdown()) {
                                socket.close();
                                return;
                            }
                            closeTlsOutput(socket);
                            socket.shutdownOutput();
                            scheduleClose(socket);
                        });
    }

    private static void closeTlsOutput(SocketChannel socket) {
        SslHandler tls = socket.pipeline().get(SslHandler.class);
        if (tls != null) {
            tls.closeOutbound();
        }
    }

    private static void scheduleClose(SocketChannel socket) {
        Runnable close = () -> socket.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        socket.eventLoop().schedule(close, LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
