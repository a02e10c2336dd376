package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.RequestReader;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** An engine whose answers are the bytes that a test gives; it keeps its connections open. */
final class ScriptedEngine implements AutoCloseable {

    private static final int BACKLOG = 64;

    private final SocketServer server;
    private final Function<PlatformEngineStandin.ReceivedRequest, String> answers;

    /**
     * Starts an engine.
     *
     * @param answers returns the bytes of the answer to a request, one character each, not null
     */
    ScriptedEngine(
            String id,
            PlatformStoreStandin store,
            Function<PlatformEngineStandin.ReceivedRequest, String> answers)
            throws IOException {
        this.answers = answers;
        server =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
        store.put(
                StoreKinds.SERVERS,
                id,
                PlatformFixtures.serverEntry(EntryFleet.SERVICE, server.port()));
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            String answer = answers.apply(RequestReader.read(in));
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
