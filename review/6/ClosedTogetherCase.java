package io.pollenpath.review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * For a while some clients leave before their answers come, and engines lose some answers: they run
 * the request and close the connection. Meanwhile the entry's machine stands still. After that
 * all is calm, and requests of another service that last longer than their route's timeout have to be
 * ended by the entry.
 */
public final class ClosedTogetherCase {

    private static final int NUMBER = 6;
    private static final String SHORT_SERVICE = "drafts";
    private static final String LONG_SERVICE = "proofs";
    private static final String SHORT_ROUTE = "draft";
    private static final String LONG_ROUTE = "once";
    private static final int SLOTS = 24;
    private static final long START_TIMEOUT_MS = 20_000;
    private static final long STABLE_MS = 4_000;
    private static final int ROUNDS = 2;
    private static final long PAUSE_MS = 4_000;
    private static final long TROUBLE_BEFORE_FREEZE_MS = 1_000;
    private static final long FREEZE_MS = 4_000;
    private static final long TROUBLE_AFTER_FREEZE_MS = 500;
    private static final long CALM_MS = 6_000;
    private static final long OBSERVED_MS = 24_000;

    private static final int SHORT_ENGINES = 5;
    private static final int MIN_SHORT_WORK_MS = 250;
    private static final int MAX_SHORT_WORK_MS = 350;
    private static final long SHORT_TIMEOUT_MS = 8_000;
    private static final long SHORT_OBJECTIVE_MS = 400;
    private static final int SHORT_DEADLINE_MS = 8_000;

    /** A share of 0.3 of the clients leaves, after half of the route's objective of 400 ms. */
    private static final int STAYING_CLIENTS = 76;

    private static final int LEAVING_CLIENTS = 32;
    private static final int LEAVE_AFTER_MS = 200;

    /** A share of 0.6 of the engines loses the answers of 0.3 of the requests. */
    private static final int LOSING_ENGINES = 3;

    private static final double LOST_SHARE = 0.3;

    private static final long LONG_WORK_MS = 2_000;
    private static final long LONG_TIMEOUT_MS = 1_000;
    private static final int LONG_CLIENTS = 2;
    private static final int LONG_DEADLINE_MS = 6_000;
    private static final long SLACK_MS = 500;
    private static final int LEAST_UNANSWERED = 8;

    /** The rule is broken if over one in so many has no answer. */
    private static final int LEAST_SHARE = 4;

    private final Record record;
    private final boolean disrupted;
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean losing;

    private ClosedTogetherCase(Record record, boolean disrupted) {
        this.record = record;
        this.disrupted = disrupted;
    }

    /** Plays the case. */
    public static void main(String[] arguments) throws IOException {
        Cases.run(
                NUMBER,
                (temporary, record, disrupted) ->
                        new ClosedTogetherCase(record, disrupted).play(temporary));
    }

    private int play(Path temporary) throws Exception {
        RawServer[] engines = new RawServer[SHORT_ENGINES];
        try (StoreStandin store = new StoreStandin();
                EngineStandin slow = new EngineStandin("long-1", LONG_WORK_MS);
                EntryProcess entry = new EntryProcess("entry-1", temporary, store.port())) {
            for (int i = 0; i < SHORT_ENGINES; i++) {
                boolean losesAnswers = i < LOSING_ENGINES;
                String id = "short-" + (i + 1);
                engines[i] = new RawServer((request, out) -> answer(id, losesAnswers, request, out));
                register(store, SHORT_SERVICE, id, engines[i].port());
            }
            register(store, LONG_SERVICE, slow.id(), slow.port());
            writeManifest(store);
            entry.start();
            entry.awaitServing("/" + SHORT_ROUTE + "/ready", START_TIMEOUT_MS);
            sendShort(entry);
            Thread.sleep(CALM_MS);
            int code = sendLong(entry, slow);
            Cases.showConditions(record, entry, store);
            return code;
        } finally {
            for (RawServer engine : engines) {
                engine.close();
            }
        }
    }

    private static void register(StoreStandin store, String service, String id, int port) {
        long bornMs = System.currentTimeMillis();
        store.put(Manifests.SERVERS, id, Manifests.serverEntry(service, port, SLOTS, bornMs));
    }

    private static void writeManifest(StoreStandin store) {
        ObjectNode manifest = Manifests.manifest(1, LONG_SERVICE);
        Manifests.addRoute(
                manifest, LONG_ROUTE, "non_idempotent", LONG_SERVICE, LONG_TIMEOUT_MS);
        Manifests.addRoute(
                manifest,
                SHORT_ROUTE,
                "non_idempotent",
                SHORT_SERVICE,
                SHORT_TIMEOUT_MS,
                SHORT_OBJECTIVE_MS);
        store.put(Manifests.CONFIG, Manifests.NEWEST, manifest);
    }

    private void sendShort(EntryProcess entry) throws IOException, InterruptedException {
        String path = "/" + SHORT_ROUTE + "/";
        try (Traffic stay =
                new Traffic(
                        entry.callerPort(), path + "stay/", STAYING_CLIENTS, SHORT_DEADLINE_MS)) {
            Thread.sleep(STABLE_MS);
            for (int round = 1; round <= ROUNDS; round++) {
                if (disrupted) {
                    playTrouble(entry, path + "leave-" + round + "/");
                }
                Thread.sleep(PAUSE_MS);
            }
            stay.stop();
            record.show("short requests whose clients stayed: " + stay.sent().size());
        }
        record.show("answers that engines lost: " + lost);
    }

    private void playTrouble(EntryProcess entry, String path)
            throws IOException, InterruptedException {
        try (LeavingCallers leave =
                new LeavingCallers(
                        entry.callerPort(), path, LEAVING_CLIENTS, LEAVE_AFTER_MS, record)) {
            Thread.sleep(TROUBLE_BEFORE_FREEZE_MS);
            losing = true;
            entry.signal("STOP");
            record.show("engines lose answers, and the entry's machine stands still");
            Thread.sleep(FREEZE_MS);
            entry.signal("CONT");
            record.show("the entry's machine goes on");
            Thread.sleep(TROUBLE_AFTER_FREEZE_MS);
            leave.stop();
            record.show("short requests whose clients left: " + leave.sent());
        }
        losing = false;
    }

    private boolean answer(
            String id, boolean losesAnswers, RawServer.Request request, OutputStream out)
            throws IOException, InterruptedException {
        String requestId = request.header("request-id");
        record.line(id + " runs " + requestId);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Thread.sleep(random.nextInt(MIN_SHORT_WORK_MS, MAX_SHORT_WORK_MS));
        if (losing && losesAnswers && random.nextDouble() < LOST_SHARE) {
            lost.incrementAndGet();
            record.line(id + " loses its answer to " + requestId + " and closes");
            return false;
        }
        String body = id + " ran " + requestId;
        write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId
                        + "\r\nUpstream-Signature: proof-of-" + id
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        return true;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private int sendLong(EntryProcess entry, EngineStandin slow)
            throws IOException, InterruptedException {
        record.show("all is calm since " + CALM_MS + " ms; long requests come");
        try (Traffic traffic =
                new Traffic(
                        entry.callerPort(),
                        "/" + LONG_ROUTE + "/",
                        LONG_CLIENTS,
                        LONG_DEADLINE_MS)) {
            Thread.sleep(OBSERVED_MS);
            traffic.stop();
            slow.arrivals()
                    .forEach(run -> record.lineAt(run.nanos(), slow.id() + " runs " + run.requestId()));
            record.show("the entry runs: " + entry.process().isAlive());
            record.show("lines work_failed in its log: " + failedWork(entry));
            return judge(traffic);
        }
    }

    private static long failedWork(EntryProcess entry) throws IOException {
        try (Stream<String> lines = Files.lines(entry.logFile())) {
            return lines.filter(line -> line.contains("event=work_failed")).count();
        }
    }

    private int judge(Traffic traffic) {
        traffic.sent()
                .forEach(
                        (id, request) ->
                                record.lineAt(
                                        request.sentNanos(),
                                        id + " sent, ended " + request.status() + " after "
                                                + request.lastedMs() + " ms"));
        Collection<Traffic.Sent> sent = traffic.sent().values();
        long atTimeout = countLonger(sent, LONG_TIMEOUT_MS);
        long later = countLonger(sent, LONG_TIMEOUT_MS + SLACK_MS);
        long longestMs = sent.stream().mapToLong(Traffic.Sent::lastedMs).max().orElse(0);
        record.show("long requests: " + sent.size());
        record.show("unanswered at TimeoutMs: " + atTimeout);
        record.show("unanswered half a second later: " + later);
        record.show("longest time to an answer: " + longestMs + " ms");
        boolean broken = later >= LEAST_UNANSWERED && LEAST_SHARE * later > atTimeout;
        return broken ? Cases.BROKEN : Cases.HELD;
    }

    private static long countLonger(Collection<Traffic.Sent> sent, long ms) {
        return sent.stream().filter(request -> request.lastedMs() > ms).count();
    }
}
