package review.trials;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import review.common.Caller;
import review.common.CaseMain;
import review.common.CaseRecord;
import review.common.Deployment;
import review.common.Http;
import review.common.Manifests;
import review.common.StoreStandin;

/**
 * The engines of a service say in turn that they leave, end, and start again under their ids. A trial
 * and no case: the requests that the entry refuses afterwards are not lost.
 */
public final class ReturnedEngines {

    private static final String SERVICE = "drafts";
    private static final int ENGINES = 3;
    private static final int SLOTS = 6;
    private static final long TIMEOUT_MS = 1_000;
    private static final long DRAIN_MS = 2_000;
    private static final long DOWN_MS = 1_000;
    private static final int REQUESTS_BETWEEN = 20;
    private static final int REQUESTS_AFTER = 60;
    private static final byte[] BODY = new byte[10];

    private final CaseRecord record;
    private final boolean trouble;
    private final StoreStandin store;
    private final Engine[] engines = new Engine[ENGINES];
    private int sent;

    private ReturnedEngines(CaseRecord record, boolean trouble, StoreStandin store) {
        this.record = record;
        this.trouble = trouble;
        this.store = store;
    }

    /** Runs the trial. */
    public static void main(String[] arguments) {
        CaseMain.run(
                "review/trials",
                (record, trouble) -> {
                    try (StoreStandin store = new StoreStandin()) {
                        return new ReturnedEngines(record, trouble, store).isServiceGone();
                    }
                });
    }

    private boolean isServiceGone() throws Exception {
        ObjectNode manifest = Manifests.empty();
        Manifests.addService(manifest, SERVICE, 100);
        Manifests.addRoute(manifest, SERVICE, "idempotent", SERVICE, TIMEOUT_MS);
        store.put("config", "main", manifest);
        for (int i = 0; i < ENGINES; i++) {
            start(i, 0);
        }
        try (Deployment deployment = new Deployment(store.address())) {
            Deployment.Entry entry = deployment.startEntry(1);
            deployment.awaitReady(entry);
            Caller caller = new Caller(entry, record);
            serve(caller, REQUESTS_BETWEEN);
            for (int i = 0; i < ENGINES; i++) {
                replace(i, caller);
            }
            int served = serve(caller, REQUESTS_AFTER);
            record.add("served after all engines are back: " + served + " of " + REQUESTS_AFTER);
            return 4 * served < REQUESTS_AFTER;
        }
    }

    private void start(int number, int port) throws IOException {
        engines[number] = new Engine(port);
        int ownPort = engines[number].listener.getLocalPort();
        store.put("servers", "engine-" + number, Manifests.server(SERVICE, ownPort, SLOTS));
    }

    /** An engine leaves in order and is back some time later under its id and address. */
    private void replace(int number, Caller caller) throws Exception {
        Engine engine = engines[number];
        int port = engine.listener.getLocalPort();
        record.add("engine-" + number + " leaves");
        engine.saysLeaving = trouble;
        serve(caller, REQUESTS_BETWEEN);
        ObjectNode draining = Manifests.server(SERVICE, port, SLOTS).put("State", "draining");
        store.put("servers", "engine-" + number, draining);
        Thread.sleep(DRAIN_MS);
        engine.end();
        Thread.sleep(DOWN_MS);
        start(number, port);
        record.add("engine-" + number + " is back");
        Thread.sleep(DRAIN_MS);
    }

    private int serve(Caller caller, int requests) {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            String id = "draft-" + sent++;
            Caller.Answer answer =
                    caller.call(id, "/" + SERVICE + "/x", "", BODY, TIMEOUT_MS, TIMEOUT_MS);
            served += answer.status() == 200 ? 1 : 0;
        }
        return served;
    }

    /** One start of an engine. */
    private static final class Engine {

        private final ServerSocket listener = new ServerSocket();
        private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
        private volatile boolean saysLeaving;

        private Engine(int port) throws IOException {
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress("127.0.0.1", port), 64);
            startThread(this::acceptAll);
        }

        private static void startThread(Runnable task) {
            Thread thread = new Thread(task, "engine");
            thread.setDaemon(true);
            thread.start();
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    connections.add(socket);
                    startThread(() -> serve(socket));
                }
            } catch (IOException e) {
                // The engine has ended.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Http.Head head = Http.readHead(in);
                    Http.readBody(in, head);
                    String leaving = saysLeaving ? "Server-Leaving: 1\r\n" : "";
                    String answer =
                            "HTTP/1.1 200 OK\r\nRequest-Id: " + head.header("request-id") + "\r\n"
                                    + leaving
                                    + "Upstream-Signature: proof\r\nKeep-Alive: timeout=5\r\n"
                                    + "Content-Length: 4\r\n\r\ndone";
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // The entry or the engine has closed the connection.
            }
        }

        private void end() throws IOException {
            listener.close();
            for (Socket socket : connections) {
                socket.close();
            }
        }
    }
}
