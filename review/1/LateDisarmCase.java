package review.latedisarm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import review.common.Caller;
import review.common.CaseMain;
import review.common.CaseRecord;
import review.common.Deployment;
import review.common.Manifests;
import review.common.RankGroup;
import review.common.StoreStandin;

/**
 * The process of a group's leader is stopped in order while the group is idle and all ranks are
 * armed; an order of its successor gets no answer and is carried out late; work comes meanwhile.
 */
public final class LateDisarmCase {

    private static final String DRAFTS = "drafts";
    private static final int RANKS = 4;
    private static final long DRAFT_TIMEOUT_MS = 8_000;
    private static final int BATCH_REQUESTS = 60;
    private static final long LATE_MARGIN_MS = 200;

    private static final int CALLERS = 64;

    /** Orders without an answer are carried out 2 to 12 s later. */
    private static final long LATE_MS = 3_000;

    private final CaseRecord record;
    private final boolean trouble;
    private final AtomicBoolean preparing = new AtomicBoolean();
    private final AtomicBoolean leaderStopped = new AtomicBoolean();
    private final AtomicBoolean changeUndone = new AtomicBoolean();
    private final AtomicInteger disarms = new AtomicInteger();
    private final Map<Integer, Long> armedVersions = new ConcurrentHashMap<>();
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS, LateDisarmCase::daemon);
    private Caller caller;
    private volatile long lateOrderNanos;

    private LateDisarmCase(CaseRecord record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case. */
    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, trouble) -> new LateDisarmCase(record, trouble).isBroken());
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "caller");
        thread.setDaemon(true);
        return thread;
    }

    private boolean isBroken() throws Exception {
        try (StoreStandin store = new StoreStandin();
                RankGroup group = new RankGroup(RANKS, record, this::delayMs);
                Deployment deployment = new Deployment(store.address())) {
            store.put("config", "main", manifest());
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
            Deployment.await("the group has a leader", 20_000, () -> leader(store) != null);
            changeMapAtTheEndOfABatch(group);
            if (trouble) {
                stopLeader(store, deployment);
                Deployment.await("the next leader acts", 20_000, changeUndone::get);
            }
            sendBatch();
            if (trouble) {
                Deployment.await("the late order is carried out", 2 * LATE_MS, this::isLateOrderDue);
            }
            record.add("passes with mixed maps: " + group.mixedPasses() + " of " + group.passes());
            return group.mixedPasses() > 0;
        }
    }

    private static ObjectNode manifest() {
        ObjectNode manifest = Manifests.empty();
        Manifests.addService(manifest, DRAFTS, 348).set("Engine", RankGroup.engine());
        Manifests.addRoute(manifest, DRAFTS, "streaming", DRAFTS, DRAFT_TIMEOUT_MS)
                .put("Resumable", true);
        return manifest;
    }

    /** Returns the machine of the leader; null if there is none. */
    private static String leader(StoreStandin store) {
        JsonNode lease = store.spec("leases", "group-0");
        return lease == null ? null : lease.path("Holder").asText().split("/")[0];
    }

    /** One order to undo the change, at one of the ranks, is carried out late. */
    private long delayMs(int rank, JsonNode order) {
        String operation = order.path("Op").asText();
        preparing.compareAndSet(false, operation.equals("prepare"));
        long version = order.path("Version").asLong();
        if (operation.equals("arm")) {
            armedVersions.put(rank, version);
        }
        boolean undoes = operation.equals("disarm") && armedVersions.containsValue(version);
        if (!undoes || !leaderStopped.get()) {
            return 0;
        }
        changeUndone.set(true);
        if (disarms.incrementAndGet() > 1) {
            return 0;
        }
        lateOrderNanos = System.nanoTime();
        return LATE_MS;
    }

    private boolean isLateOrderDue() {
        long sinceMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lateOrderNanos);
        return sinceMs > LATE_MS + LATE_MARGIN_MS;
    }

    /** The batch ends when the change of the map has begun; the group is idle from then on. */
    private void changeMapAtTheEndOfABatch(RankGroup group) throws InterruptedException {
        for (int i = 0; i < 1_000 && !preparing.get(); i++) {
            sendDraft("first-" + i);
            Thread.sleep(60);
        }
        Deployment.await("a change has begun", 1, preparing::get);
        Deployment.await("all ranks are armed", 10_000, () -> group.armedRanks() == RANKS);
        Deployment.await("the step is released", 5_000, () -> !group.isHeld());
        Deployment.await("the group is idle", 2_000, group::isIdle);
        Deployment.await("all ranks are still armed", 1, () -> group.armedRanks() == RANKS);
        record.add("the batch has ended, all ranks are armed, the step is released");
    }

    /** Stops the leader's process in order and starts it again. */
    private void stopLeader(StoreStandin store, Deployment deployment) throws Exception {
        String leader = leader(store);
        Process process = deployment.process(leader);
        record.add("SIGTERM to " + leader + ", the leader's process");
        process.destroy();
        process.waitFor();
        record.add(leader + " has ended with " + process.exitValue());
        leaderStopped.set(true);
        deployment.restart("side", leader);
        record.add(leader + " is started again");
    }

    private void sendBatch() throws Exception {
        record.add("the next batch begins");
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (int i = 0; i < BATCH_REQUESTS; i++) {
            answers.add(sendDraft("next-" + i));
            Thread.sleep(20);
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).get();
    }

    private CompletableFuture<Void> sendDraft(String id) {
        String lastPart = Integer.toHexString(id.hashCode() & 0x7fffffff);
        String prompt =
                "Model: m\r\nToken-Usage: 100,96\r\nPrompt-Prefix: a1:50," + lastPart + ":50\r\n";
        byte[] body = Json.bytes(Json.object().put("text", id));
        return CompletableFuture.runAsync(
                () ->
                        caller.call(
                                id, "/" + DRAFTS + "/x", prompt, body, DRAFT_TIMEOUT_MS,
                                DRAFT_TIMEOUT_MS),
                callers);
    }
}
