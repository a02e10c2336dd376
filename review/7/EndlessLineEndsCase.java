package io.pollenpath.review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;

/**
 * One of two model engines sends line ends without end in the body of one of 20 of its streams. Requests of a
 * plain service with sound servers go through the same entry.
 */
public final class EndlessLineEndsCase {

    private static final int NUMBER = 7;
    private static final String PLAIN_SERVICE = "proofs";
    private static final String STREAM_SERVICE = "drafts";
    private static final String PLAIN_ROUTE = "once";
    private static final String STREAM_ROUTE = "draft";
    private static final int SLOTS = 8;
    private static final long WORK_MS = 20;
    private static final int CLIENTS = 16;
    private static final int DEADLINE_MS = 3_000;
    private static final long PLAIN_TIMEOUT_MS = 1_000;
    private static final long STREAM_TIMEOUT_MS = 8_000;
    private static final long STREAM_OBJECTIVE_MS = 501;
    private static final long SLACK_MS = 500;
    private static final int LEAST_UNANSWERED = 8;

    /** The rule is broken if over one in so many has no answer. */
    private static final int LEAST_SHARE = 4;

    private static final long STREAM_INTERVAL_MS = 200;
    private static final long START_TIMEOUT_MS = 20_000;
    private static final long STABLE_MS = 6_000;
    private static final long TROUBLE_MS = 32_000;

    private final Record record;
    private final boolean disrupted;

    private EndlessLineEndsCase(Record record, boolean disrupted) {
        this.record = record;
        this.disrupted = disrupted;
    }

    /** Plays the case. */
    public static void main(String[] arguments) throws Exception {
        Cases.run(
                NUMBER,
                (temporary, record, disrupted) ->
                        new EndlessLineEndsCase(record, disrupted).play(temporary));
    }

    private int play(Path temporary) throws Exception {
        try (StoreStandin store = new StoreStandin();
                EngineStandin plainOne = new EngineStandin("plain-1", WORK_MS);
                EngineStandin plainTwo = new EngineStandin("plain-2", WORK_MS);
                StreamEngine sound = new StreamEngine("model-1");
                StreamEngine troubled = new StreamEngine("model-2");
                EntryProcess entry = new EntryProcess("entry-1", temporary, store.port())) {
            register(store, PLAIN_SERVICE, plainOne.id(), plainOne.port());
            register(store, PLAIN_SERVICE, plainTwo.id(), plainTwo.port());
            register(store, STREAM_SERVICE, "model-1", sound.port());
            register(store, STREAM_SERVICE, "model-2", troubled.port());
            writeManifest(store);
            entry.start();
            entry.awaitServing("/" + PLAIN_ROUTE + "/ready", START_TIMEOUT_MS);
            int code = send(entry, troubled, List.of(plainOne, plainTwo));
            Cases.showConditions(record, entry, store);
            return code;
        }
    }

    private int send(EntryProcess entry, StreamEngine troubled, List<EngineStandin> plain)
            throws InterruptedException {
        int port = entry.callerPort();
        try (Traffic traffic =
                        new Traffic(port, "/" + PLAIN_ROUTE + "/", CLIENTS, DEADLINE_MS);
                StreamCallers streams =
                        new StreamCallers(
                                port, "/" + STREAM_ROUTE + "/", STREAM_INTERVAL_MS, record)) {
            Thread.sleep(STABLE_MS);
            troubled.setInTrouble(disrupted);
            record.show("model-2 sends line ends without end: " + disrupted);
            Thread.sleep(TROUBLE_MS);
            troubled.setInTrouble(false);
            record.show("streams of model-2 that went on without end: " + troubled.endlessStreams());
            record.show("model-2 sent " + troubled.endlessBytes() + " bytes that are no answer");
            streams.stop();
            traffic.stop();
            record.show("streams: " + streams.sent() + ", complete: " + streams.complete());
            record.show("the entry runs: " + entry.process().isAlive());
            plain.forEach(this::recordRuns);
            return judge(traffic);
        }
    }

    private void recordRuns(EngineStandin engine) {
        engine.arrivals()
                .forEach(
                        run -> record.lineAt(run.nanos(), run.engineId() + " runs " + run.requestId()));
    }

    private static void register(StoreStandin store, String service, String id, int port) {
        long bornMs = System.currentTimeMillis();
        store.put(Manifests.SERVERS, id, Manifests.serverEntry(service, port, SLOTS, bornMs));
    }

    private static void writeManifest(StoreStandin store) {
        ObjectNode manifest = Manifests.manifest(1, PLAIN_SERVICE);
        Manifests.addRoute(
                manifest, PLAIN_ROUTE, "non_idempotent", PLAIN_SERVICE, PLAIN_TIMEOUT_MS);
        Manifests.addRoute(
                manifest,
                STREAM_ROUTE,
                "streaming",
                STREAM_SERVICE,
                STREAM_TIMEOUT_MS,
                STREAM_OBJECTIVE_MS);
        store.put(Manifests.CONFIG, Manifests.NEWEST, manifest);
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
        long atTimeout = countLonger(sent, PLAIN_TIMEOUT_MS);
        long later = countLonger(sent, PLAIN_TIMEOUT_MS + SLACK_MS);
        long longestMs = sent.stream().mapToLong(Traffic.Sent::lastedMs).max().orElse(0);
        record.show("requests to the plain service: " + sent.size());
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
