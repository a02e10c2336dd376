package io.pollenpath.platform;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Serves each connection of a listening socket on a thread of its own. */
final class SocketServer implements AutoCloseable {

    private final ServerSocket listener;
    private final Handler handler;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /** Serves one connection, which is closed afterwards. */
    interface Handler {

        /**
         * Serves a connection.
         *
         * @throws IOException if the peer has closed it
         */
        void serve(Socket socket) throws IOException;
    }

    /**
     * Starts to accept connections.
     *
     * @param listener a bound socket, which this server closes, not null
     * @param handler serves each connection, not null
     */
    SocketServer(ServerSocket listener, Handler handler) {
        this.listener = listener;
        this.handler = handler;
        threads.execute(this::acceptAll);
    }

    private void acceptAll() {
        try {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed, so no more connections arrive.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            handler.serve(socket);
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }
}
