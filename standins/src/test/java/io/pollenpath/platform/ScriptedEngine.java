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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;

/** An engine whose answers are the bytes that a test gives; it keeps its connections open. */
final class ScriptedEngine implements AutoCloseable {

    private static final int BACKLOG = 64;

    private final ServerSocket listener;
    private final Function<PlatformEngineStandin.ReceivedRequest, String> answers;
    private final ExecutorService threads = Executors.newCachedThreadPool();

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
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
        store.put(
                StoreKinds.SERVERS,
                id,
                PlatformFixtures.serverEntry(EntryFleet.SERVICE, listener.getLocalPort()));
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
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String answer = answers.apply(RequestReader.read(in));
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            }
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }
}
