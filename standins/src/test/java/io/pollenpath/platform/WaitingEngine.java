package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.state.serving.ServerInstance;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An engine that answers no request whose path says {@code wait}; a test ends their connections.
 * Other requests get a short answer, with their field {@value FailingDialect#FIELD}.
 */
final class WaitingEngine implements AutoCloseable {

    private static final int BACKLOG = 64;

    private final String id;
    private final SocketServer server;
    private final Map<String, Socket> waiting;

    /**
     * Starts an engine.
     *
     * @param waiting where it keeps the connection of each waiting request, by the ID of the
     *     request, not null
     */
    WaitingEngine(String id, ConcurrentHashMap<String, Socket> waiting) throws IOException {
        this.id = id;
        this.waiting = waiting;
        server =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
    }

    /** Returns this engine as a server of the gateway's service. */
    ServerInstance instance() {
        return GatewayFixture.instance(id, server.port());
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            PlatformEngineStandin.ReceivedRequest request = RequestReader.read(in);
            String requestId = request.header("request-id");
            if (request.path().contains("wait")) {
                waiting.put(requestId, socket);
                in.skip(Long.MAX_VALUE);
                return;
            }
            String answer =
                    "HTTP/1.1 200 OK\r\nUpstream-Signature: proof\r\nRequest-Id: "
                            + requestId
                            + "\r\n"
                            + FailingDialect.FIELD
                            + ": "
                            + request.headers().getOrDefault(FailingDialect.FIELD, "nothing")
                            + "\r\nContent-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
