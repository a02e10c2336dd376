package review.latehold;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import review.common.Caller;
import review.common.CaseMain;
import review.common.CaseRecord;
import review.common.Deployment;
import review.common.Manifests;
import review.common.PlainEngine;
import review.common.RankGroup;
import review.common.StoreStandin;

/**
 * One order to hold a step gets no answer and is carried out some seconds later, while the group is
 * idle and its leader has ended the change of the map.
 */
public final class LateHoldCase {

    private static final String DRAFTS = "drafts";
    private static final String PROOFS = "proofs";
    private static final int RANKS = 4;
    private static final int BATCH_REQUESTS = 400;
    private static final long DRAFT_TIMEOUT_MS = 8_000;
    private static final long PROOF_TIMEOUT_MS = 1_000;

    /** Orders without an answer are carried out 2 to 12 s later. */
    private static final long LATE_MS = 3_000;

    private static final int CALLERS = 64;

    private final CaseRecord record;
    private final boolean trouble;
    private final AtomicBoolean preparing = new AtomicBoolean();
    private final AtomicInteger holds = new AtomicInteger();
    private final Served drafts = new Served();
    private final Served proofs = new Served();
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS, LateHoldCase::daemon);
    private Caller caller;

    /** The requests of one kind. */
    private static final class Served {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        private double share() {
            return (double) served.get() / sent.get();
        }
    }

    private LateHoldCase(CaseRecord record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case. */
    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, trouble) -> new LateHoldCase(record, trouble).isBroken());
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "caller");
        thread.setDaemon(true);
        return thread;
    }

    private boolean isBroken() throws Exception {
        try (StoreStandin store = new StoreStandin();
                RankGroup group = new RankGroup(RANKS, record, this::delayMs);
                PlainEngine proofEngine = new PlainEngine();
                Deployment deployment = new Deployment(store.address())) {
            store.put("config", "main", manifest());
            store.put("servers", "proof-0", Manifests.server(PROOFS, proofEngine.port(), 6));
            for (int rank = 0; rank < RANKS; rank++) {
                store.put(
                        "servers",
                        "draft-" + rank,
                        Manifests.server(DRAFTS, group.port(rank), RankGroup.SLOTS));
                deployment.startSide(rank + 1, "127.0.0.1:" + group.port(rank), DRAFTS);
            }
            record.add("settings and logs: " + deployment.folder());
            Deployment.Entry entry = deployment.startEntry(1);
            deployment.awaitInTouch(entry, record);
            caller = new Caller(entry, record);
            Deployment.await("the group has a leader", 20_000, () -> store.spec("leases", "group-0") != null);
            changeMapAtTheEndOfABatch(group);
            long passesBefore = group.passes();
            sendNextBatch();
            record.add("passes during the next batch: " + (group.passes() - passesBefore));
        }
        return isStarved();
    }

    private static ObjectNode manifest() {
        ObjectNode manifest = Manifests.empty();
        Manifests.addService(manifest, DRAFTS, 348).set("Engine", RankGroup.engine());
        Manifests.addService(manifest, PROOFS, 100);
        Manifests.addRoute(manifest, DRAFTS, "streaming", DRAFTS, DRAFT_TIMEOUT_MS)
                .put("Resumable", true);
        Manifests.addRoute(manifest, PROOFS, "idempotent", PROOFS, PROOF_TIMEOUT_MS);
        return manifest;
    }

    private long delayMs(int rank, JsonNode order) {
        String operation = order.path("Op").asText();
        preparing.compareAndSet(false, operation.equals("prepare"));
        boolean firstHold = operation.equals("Hold") && holds.incrementAndGet() == 1;
        return trouble && firstHold ? LATE_MS : 0;
    }

    /** The batch ends when the change of the map has begun; the group is idle from then on. */
    private void changeMapAtTheEndOfABatch(RankGroup group) throws InterruptedException {
        for (int i = 0; i < 1_000 && !preparing.get(); i++) {
            sendDraft("first-" + i);
            Thread.sleep(60);
        }
        Deployment.await("a change has begun", 1, preparing::get);
        Deployment.await("the group is idle", 2_000, group::isIdle);
        Deployment.await("all ranks are armed", 10_000, () -> group.armedRanks() == RANKS);
        Deployment.await("the step is released", 5_000, () -> !group.isHeld());
        record.add("the batch has ended, all ranks are armed, the step is released");
        if (trouble) {
            Deployment.await("the late order is carried out", 2 * LATE_MS, group::isHeld);
        }
    }

    private void sendNextBatch() throws Exception {
        record.add("the next batch begins");
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (int i = 0; i < BATCH_REQUESTS; i++) {
            answers.add(sendDraft("next-" + i));
            answers.add(sendProof("proof-" + i));
            Thread.sleep(50);
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).get();
    }

    private CompletableFuture<Void> sendDraft(String id) {
        String prompt = "Model: m\r\nToken-Usage: 100,96\r\nPrompt-Prefix: a1:50," + hex(id) + ":50\r\n";
        return send(drafts, id, "/" + DRAFTS + "/x", prompt, DRAFT_TIMEOUT_MS);
    }

    private static String hex(String id) {
        return Integer.toHexString(id.hashCode() & 0x7fffffff);
    }

    private CompletableFuture<Void> sendProof(String id) {
        return send(proofs, id, "/" + PROOFS + "/x", "", PROOF_TIMEOUT_MS);
    }

    private CompletableFuture<Void> send(
            Served kind, String id, String path, String headers, long deadlineMs) {
        return CompletableFuture.runAsync(
                () -> {
                    byte[] body = Json.bytes(Json.object().put("text", id));
                    kind.sent.incrementAndGet();
                    Caller.Answer answer =
                            caller.call(id, path, headers, body, deadlineMs, deadlineMs);
                    if (answer.status() == 200) {
                        kind.served.incrementAndGet();
                    }
                },
                callers);
    }

    private boolean isStarved() {
        int sent = drafts.sent.get() + proofs.sent.get();
        double all = (double) (drafts.served.get() + proofs.served.get()) / sent;
        record.add(
                "served: " + drafts.served + " of " + drafts.sent + " drafts, " + proofs.served
                        + " of " + proofs.sent + " proofs");
        boolean starved = drafts.share() < all / 4;
        if (starved) {
            record.add("STARVED: drafts " + drafts.share() + ", all " + all);
        }
        return starved;
    }
}
