package review.endlessevent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import review.common.Caller;
import review.common.CaseMain;
import review.common.CaseRecord;
import review.common.Deployment;
import review.common.Http;
import review.common.Manifests;
import review.common.PlainEngine;
import review.common.StoreStandin;

/** Some engines answer streams with bytes without end, which hold no event. */
public final class EndlessEventCase {

    private static final String DRAFTS = "drafts";
    private static final String PROOFS = "proofs";
    private static final int ENGINES = 16;
    private static final int FAULTY_ENGINES = 8;

    /** Of the answers of a faulty engine, one in so many has no end. */
    private static final int ENDLESS_ONE_IN = 20;

    private static final int SLOTS = 8;
    private static final long DRAFT_TIMEOUT_MS = 8_000;
    private static final long PROOF_TIMEOUT_MS = 1_000;

    /** What the link of an engine carries, 14 Mbit/s. */
    private static final int LINK_BYTES_PER_10_MS = 17_500;

    private static final long TROUBLE_MS = 30_000;
    private static final int DRAFTS_PER_S = 40;
    private static final int PROOFS_PER_S = 10;

    /** A request has its answer half a second after its route's timeout at the latest. */
    private static final long UNANSWERED_AFTER_MS = PROOF_TIMEOUT_MS + 500;

    private final CaseRecord record;
    private final boolean trouble;
    private final ExecutorService callers = Executors.newCachedThreadPool(EndlessEventCase::daemon);
    private final AtomicInteger proofsAtTimeout = new AtomicInteger();
    private final AtomicInteger proofsUnanswered = new AtomicInteger();
    private final AtomicInteger draftsServed = new AtomicInteger();
    private final AtomicInteger draftsSent = new AtomicInteger();
    private final AtomicInteger faultyAnswers = new AtomicInteger();
    private final AtomicLong endlessBytes = new AtomicLong();

    private EndlessEventCase(CaseRecord record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case. */
    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, trouble) -> new EndlessEventCase(record, trouble).isBroken());
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "case");
        thread.setDaemon(true);
        return thread;
    }

    private boolean isBroken() throws Exception {
        boolean entryRan;
        try (StoreStandin store = new StoreStandin();
                PlainEngine proofEngine = new PlainEngine();
                Deployment deployment = new Deployment(store.address())) {
            store.put("config", "main", manifest());
            store.put("servers", "proof-0", Manifests.server(PROOFS, proofEngine.port(), 6));
            for (int i = 0; i < ENGINES; i++) {
                store.put("servers", "draft-" + i, Manifests.server(DRAFTS, startEngine(i), SLOTS));
            }
            record.add("settings and logs: " + deployment.folder());
            Deployment.Entry entry = deployment.startEntry(1);
            deployment.awaitInTouch(entry, record);
            sendAll(new Caller(entry, record));
            entryRan = deployment.process(entry.node()).isAlive();
        }
        record.add(
                "drafts served: " + draftsServed + " of " + draftsSent + "; proofs at their timeout: "
                        + proofsAtTimeout + ", of these unanswered half a second later: "
                        + proofsUnanswered + "; bytes without end: " + endlessBytes);
        record.add("the entry ran all the while, undisturbed: " + entryRan);
        return 2 * proofsUnanswered.get() > proofsAtTimeout.get();
    }

    private static ObjectNode manifest() {
        ObjectNode manifest = Manifests.empty();
        Manifests.addService(manifest, DRAFTS, 348);
        Manifests.addService(manifest, PROOFS, 100);
        Manifests.addRoute(manifest, DRAFTS, "streaming", DRAFTS, DRAFT_TIMEOUT_MS)
                .put("Resumable", true);
        Manifests.addRoute(manifest, PROOFS, "idempotent", PROOFS, PROOF_TIMEOUT_MS);
        return manifest;
    }

    private void sendAll(Caller caller) throws Exception {
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int tick = 0; tick < TROUBLE_MS / 1000 * DRAFTS_PER_S; tick++) {
            String id = "d" + tick;
            answers.add(CompletableFuture.runAsync(() -> sendDraft(caller, id), callers));
            if (tick % (DRAFTS_PER_S / PROOFS_PER_S) == 0) {
                answers.add(CompletableFuture.runAsync(() -> sendProof(caller, "p" + id), callers));
            }
            long dueNanos = startNanos + (tick + 1) * TimeUnit.SECONDS.toNanos(1) / DRAFTS_PER_S;
            LockSupport.parkNanos(dueNanos - System.nanoTime());
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).get();
    }

    private void sendDraft(Caller caller, String id) {
        String prompt = "Model: m\r\nToken-Usage: 100,96\r\nPrompt-Prefix: a1:50,"
                + Integer.toHexString(id.hashCode()) + ":50\r\n";
        byte[] body = Json.bytes(Json.object().put("text", id));
        draftsSent.incrementAndGet();
        Caller.Answer answer =
                caller.call(id, "/" + DRAFTS + "/x", prompt, body, DRAFT_TIMEOUT_MS, DRAFT_TIMEOUT_MS);
        if (answer.status() == 200) {
            draftsServed.incrementAndGet();
        }
    }

    private void sendProof(Caller caller, String id) {
        byte[] body = Json.bytes(Json.object().put("text", id));
        Caller.Answer answer =
                caller.call(id, "/" + PROOFS + "/x", "", body, 3 * PROOF_TIMEOUT_MS, UNANSWERED_AFTER_MS);
        if (answer.elapsedMs() >= PROOF_TIMEOUT_MS) {
            proofsAtTimeout.incrementAndGet();
        }
        if (answer.status() == 0 && answer.elapsedMs() >= UNANSWERED_AFTER_MS) {
            proofsUnanswered.incrementAndGet();
        }
    }

    private int startEngine(int number) throws IOException {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Link link = new Link();
        callers.execute(
                () -> {
                    while (true) {
                        try {
                            Socket socket = listener.accept();
                            callers.execute(() -> serve(number, link, socket));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return listener.getLocalPort();
    }

    /** The link of an engine, which all its connections share. */
    private static final class Link {
        private long freeNanos = System.nanoTime();

        /** Waits until the link has carried some bytes. */
        private void carry(int bytes) {
            long dueNanos;
            synchronized (this) {
                freeNanos = Math.max(freeNanos, System.nanoTime());
                freeNanos += TimeUnit.MILLISECONDS.toNanos(10) * bytes / LINK_BYTES_PER_10_MS;
                dueNanos = freeNanos;
            }
            while (System.nanoTime() - dueNanos < 0) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
        }
    }

    private void serve(int number, Link link, Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                Http.readBody(in, head);
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\nRequest-Id: " + head.header("request-id")
                                + "\r\nUpstream-Signature: proof\r\nKeep-Alive: timeout=5\r\n"
                                + "Content-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n");
                if (trouble && number < FAULTY_ENGINES && isEndless()) {
                    record.add("engine " + number + " answers without end: " + head.header("request-id"));
                    writeWithoutEnd(link, socket);
                }
                writeEvents(link, socket);
            }
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }

    private boolean isEndless() {
        return faultyAnswers.incrementAndGet() % ENDLESS_ONE_IN == 0;
    }

    private static void writeEvents(Link link, Socket socket) throws IOException {
        for (int event = 1; event <= 24; event++) {
            String piece = "id: " + event + "\ndata: token\n\n";
            link.carry(piece.length() + 100);
            write(socket, chunk(piece));
        }
        write(socket, "0\r\n\r\n");
    }

    private void writeWithoutEnd(Link link, Socket socket) throws IOException {
        byte[] piece = new byte[1_400];
        Arrays.fill(piece, (byte) 'x');
        String text = chunk(new String(piece, StandardCharsets.ISO_8859_1));
        while (true) {
            link.carry(text.length());
            write(socket, text);
            endlessBytes.addAndGet(text.length());
        }
    }

    private static String chunk(String piece) {
        return Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
