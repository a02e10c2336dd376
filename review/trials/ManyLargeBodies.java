package review.trials;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import review.common.Caller;
import review.common.CaseMain;
import review.common.CaseRecord;
import review.common.Deployment;
import review.common.Manifests;
import review.common.PlainEngine;
import review.common.StoreStandin;

/**
 * Many callers send bodies of almost MaxBodyBytes at once. A trial and no case: far from the traffic
 * of the sheets.
 */
public final class ManyLargeBodies {

    private static final String SERVICE = "drafts";
    private static final int ENGINES = 3;
    private static final int SLOTS = 6;
    private static final int CALLERS = 60;
    private static final int LARGE_BODY_BYTES = 4_000_000;
    private static final long TIMEOUT_MS = 8_000;
    private static final long PATIENCE_MS = 12_000;
    private static final long QUIET_MS = 12_000;
    private static final int REQUESTS_AFTER = 50;

    private final CaseRecord record;
    private final int callers;
    private Caller caller;

    private ManyLargeBodies(CaseRecord record, boolean trouble) {
        this.record = record;
        callers = trouble ? CALLERS : 1;
    }

    /** Runs the trial. */
    public static void main(String[] arguments) {
        CaseMain.run(
                "review/trials",
                (record, trouble) -> new ManyLargeBodies(record, trouble).isUnanswered());
    }

    private boolean isUnanswered() throws Exception {
        try (StoreStandin store = new StoreStandin();
                Deployment deployment = new Deployment(store.address())) {
            ObjectNode manifest = Manifests.empty();
            Manifests.addService(manifest, SERVICE, 100);
            Manifests.addRoute(manifest, SERVICE, "non_idempotent", SERVICE, TIMEOUT_MS);
            store.put("config", "main", manifest);
            startEngines(store);
            Deployment.Entry entry = deployment.startEntry(1);
            deployment.awaitReady(entry);
            caller = new Caller(entry, record);
            long unanswered = sendAtOnce();
            Thread.sleep(QUIET_MS);
            recordServedAfterwards();
            record.add("callers without an answer: " + unanswered + " of " + callers);
            return unanswered > 0;
        }
    }

    private static void startEngines(StoreStandin store) throws IOException {
        for (int i = 0; i < ENGINES; i++) {
            int port = new PlainEngine().port();
            store.put("servers", "engine-" + i, Manifests.server(SERVICE, port, SLOTS));
        }
    }

    private long sendAtOnce() {
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        byte[] body = new byte[LARGE_BODY_BYTES];
        List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            String id = "large-" + i;
            answers.add(CompletableFuture.supplyAsync(() -> call(id, body), threads));
        }
        long unanswered = answers.stream().filter(answer -> answer.join().status() == 0).count();
        threads.shutdown();
        return unanswered;
    }

    private Caller.Answer call(String id, byte[] body) {
        return caller.call(id, "/" + SERVICE + "/x", "", body, TIMEOUT_MS, PATIENCE_MS);
    }

    private void recordServedAfterwards() {
        int served = 0;
        for (int i = 0; i < REQUESTS_AFTER; i++) {
            Caller.Answer answer =
                    caller.call("after-" + i, "/" + SERVICE + "/x", "", new byte[10], 1_000, 2_000);
            served += answer.status() == 200 ? 1 : 0;
        }
        record.add("small requests served afterwards: " + served + " of " + REQUESTS_AFTER);
    }
}
