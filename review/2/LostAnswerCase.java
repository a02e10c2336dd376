package review.lostanswer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import review.common.Caller;
import review.common.CaseMain;
import review.common.CaseRecord;
import review.common.Deployment;
import review.common.Http;
import review.common.Manifests;
import review.common.StoreStandin;

/**
 * An engine loses the answer of a non-idempotent request on which it has begun to work while the
 * request's long body is still on its way.
 */
public final class LostAnswerCase {

    private static final String SERVICE = "dispatch";
    private static final String ROUTE = "alert";
    private static final int ENGINES = 3;
    private static final int SLOTS = 6;
    private static final int LONG_REQUESTS = 50;
    private static final int LONG_BODY_BYTES = 4_000_000;
    private static final long TIMEOUT_MS = 3_000;

    /** Short requests come for longer than BudgetWindowS, in which a new entry repeats nothing. */
    private static final int SHORT_REQUESTS = 240;

    private static final int SHORT_BODY_BYTES = 600;
    private static final long SHORT_REQUEST_INTERVAL_MS = 50;

    /** The window of a link, and what it carries, about 130 Mbit/s. */
    private static final int WINDOW_BYTES = 16_384;

    private static final int LINK_BYTES_PER_MS = 16_384;

    /** Of the requests that reach the first engine, one in so many loses its answer. */
    private static final int LOST_ONE_IN = 3;

    private final CaseRecord record;
    private final boolean trouble;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger runsOfFirstEngine = new AtomicInteger();
    private final AtomicInteger lostAnswers = new AtomicInteger();

    private LostAnswerCase(CaseRecord record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case. */
    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, trouble) -> new LostAnswerCase(record, trouble).isBroken());
    }

    private boolean isBroken() throws IOException {
        try (StoreStandin store = new StoreStandin();
                Deployment deployment = new Deployment(store.address())) {
            store.put("config", "main", manifest());
            for (int i = 0; i < ENGINES; i++) {
                store.put("servers", "engine-" + i, Manifests.server(SERVICE, startEngine(i), SLOTS));
            }
            record.add("settings and logs: " + deployment.folder());
            Deployment.Entry entry = deployment.startEntry(1);
            deployment.awaitInTouch(entry, record);
            sendAll(new Caller(entry, record));
        }
        return isAnyRunTwice();
    }

    private static ObjectNode manifest() {
        ObjectNode manifest = Manifests.empty();
        Manifests.addService(manifest, SERVICE, 100);
        Manifests.addRoute(manifest, ROUTE, "non_idempotent", SERVICE, TIMEOUT_MS);
        return manifest;
    }

    private void sendAll(Caller caller) {
        byte[] shortBody = new byte[SHORT_BODY_BYTES];
        for (int i = 0; i < SHORT_REQUESTS; i++) {
            send(caller, "short-" + i, shortBody);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SHORT_REQUEST_INTERVAL_MS));
        }
        byte[] longBody = new byte[LONG_BODY_BYTES];
        for (int i = 0; i < LONG_REQUESTS; i++) {
            send(caller, "long-" + i, longBody);
        }
        if (trouble) {
            Deployment.await("an answer was lost", 1_000, () -> lostAnswers.get() > 0);
        }
    }

    private void send(Caller caller, String id, byte[] body) {
        recordIfRefusedAfterRun(
                caller.call(id, "/" + ROUTE + "/x", "", body, TIMEOUT_MS, 2 * TIMEOUT_MS));
    }

    /** A 429 or 503 promises that the request has not run. */
    private void recordIfRefusedAfterRun(Caller.Answer answer) {
        boolean promised = answer.status() == 429 || answer.status() == 503;
        if (promised && runs.containsKey(answer.requestId())) {
            record.add("REFUSED: " + answer.requestId() + " has run and got " + answer.status());
        }
    }

    private boolean isAnyRunTwice() {
        runs.forEach(
                (id, count) -> {
                    if (count.get() > 1) {
                        record.add("TWICE: " + id + " ran " + count + " times");
                    }
                });
        return runs.values().stream().anyMatch(count -> count.get() > 1);
    }

    private int startEngine(int number) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(WINDOW_BYTES);
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 64);
        startThread(
                () -> {
                    while (true) {
                        Socket socket = listener.accept();
                        startThread(() -> serve(number, socket));
                    }
                });
        return listener.getLocalPort();
    }

    /** What a thread of the engine does until its connection ends. */
    private interface Work {
        void run() throws IOException;
    }

    private static void startThread(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException e) {
                                // The entry has closed the connection.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Begins to work on each request as its head arrives. */
    private void serve(int number, Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                String id = head.header("request-id");
                int run = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
                record.add("engine-" + number + " runs " + id + " (run " + run + ")");
                if (number == 0 && head.length() == LONG_BODY_BYTES && loses()) {
                    loseAnswer(socket, in, id);
                    return;
                }
                Http.readBody(in, head);
                answer(socket, id);
            }
        }
    }

    private boolean loses() {
        return trouble && runsOfFirstEngine.incrementAndGet() % LOST_ONE_IN == 0;
    }

    /** Ends the connection in order: says that no answer comes, then reads what is on its way. */
    private void loseAnswer(Socket socket, InputStream in, String id) throws IOException {
        lostAnswers.incrementAndGet();
        record.add("engine-0 has run " + id + ", loses its answer and ends the connection");
        socket.shutdownOutput();
        while (in.skip(LINK_BYTES_PER_MS) > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    private static void answer(Socket socket, String id) throws IOException {
        String answer =
                "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Signature: proof\r\n"
                        + "Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    }
}
