package io.pollenpath.bench.prove;

import io.pollenpath.bench.ChildProcess;
import io.pollenpath.bench.Signals;
import io.pollenpath.bench.SystemHarness;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Lists the cases which check, with real processes, that a non-idempotent request runs at most once
 * and that each answer says correctly whether it ran.
 */
final class AtMostOnceProcessCases {

    private static final String GUARANTEES = "at-most-once,not-run-is-true";
    private static final long PAUSE_MS = 300;
    private static final int STATUS_OK = 200;

    private AtMostOnceProcessCases() {}

    static List<FaultCase> all() {
        return List.of(
                faultCase("side-killed-after-send", AtMostOnceProcessCases::sideKilled),
                faultCase("side-frozen-late-wake", AtMostOnceProcessCases::sideFrozen),
                faultCase("side-frozen-before-send", AtMostOnceProcessCases::frozenBeforeSend),
                faultCase("entry-killed-after-send", AtMostOnceProcessCases::entryKilled),
                faultCase("object-api-down", AtMostOnceProcessCases::storeDown),
                faultCase("object-api-answer-lost", AtMostOnceProcessCases::answerLost));
    }

    /** Sends requests while a fault is injected, and returns the number of violations. */
    private interface Scenario {
        int run(KeyedRequestHarness harness) throws IOException;
    }

    private static FaultCase faultCase(String fault, Scenario scenario) {
        return new FaultCase(GUARANTEES, "processes/" + fault, true, seed -> run(scenario, seed));
    }

    private static int run(Scenario scenario, long seed) throws IOException {
        try (SystemHarness harness = KeyedRequestHarness.start()) {
            return scenario.run(new KeyedRequestHarness(harness, "key-" + seed));
        }
    }

    private static int sideKilled(KeyedRequestHarness harness) throws IOException {
        CompletableFuture<HttpReply> first = harness.send(0);
        harness.awaitRunningSide().kill();
        HttpReply firstReply = first.join();
        HttpReply retry = harness.send(1).join();
        return harness.violations(firstReply, retry)
                + KeyedRequestHarness.violationUnless(retry.status() != STATUS_OK);
    }

    private static int sideFrozen(KeyedRequestHarness harness) throws IOException {
        CompletableFuture<HttpReply> first = harness.send(0);
        ChildProcess side = harness.awaitRunningSide();
        Signals.pause(side);
        CompletableFuture<HttpReply> retry = harness.send(1);
        Pause.forMs(PAUSE_MS);
        Signals.resume(side);
        HttpReply answer = retry.join();
        return harness.violations(first.join(), answer)
                + KeyedRequestHarness.violationUnless(answer.status() == STATUS_OK);
    }

    private static int frozenBeforeSend(KeyedRequestHarness harness) throws IOException {
        List<ChildProcess> sides = harness.sides();
        for (ChildProcess side : sides) {
            Signals.pause(side);
        }
        CompletableFuture<HttpReply> first = harness.send(0);
        CompletableFuture<HttpReply> retry = harness.send(1);
        Pause.forMs(PAUSE_MS);
        for (ChildProcess side : sides) {
            Signals.resume(side);
        }
        HttpReply firstReply = first.join();
        HttpReply retryReply = retry.join();
        boolean answered = firstReply.status() == STATUS_OK || retryReply.status() == STATUS_OK;
        return harness.violations(firstReply, retryReply)
                + KeyedRequestHarness.violationUnless(answered);
    }

    private static int entryKilled(KeyedRequestHarness harness) throws IOException {
        CompletableFuture<HttpReply> first = harness.send(0);
        harness.awaitRunningSide();
        harness.entry(0).kill();
        first.exceptionally(connectionLost -> null).join();
        HttpReply answer = harness.send(1).join();
        return harness.violations(answer)
                + KeyedRequestHarness.violationUnless(answer.status() == STATUS_OK);
    }

    private static int storeDown(KeyedRequestHarness harness) throws IOException {
        harness.setStoreFault("down");
        HttpReply refusal = harness.send(0).join();
        boolean hasRetryAfter = refusal.headers().contains("retry-after");
        harness.setStoreFault("none");
        HttpReply answer = harness.send(1).join();
        return harness.violations(refusal, answer)
                + KeyedRequestHarness.violationUnless(hasRetryAfter)
                + KeyedRequestHarness.violationUnless(answer.status() == STATUS_OK);
    }

    private static int answerLost(KeyedRequestHarness harness) throws IOException {
        harness.setStoreFault("lost");
        HttpReply first = harness.send(0).join();
        HttpReply second = harness.send(1).join();
        boolean same = Arrays.equals(first.body(), second.body());
        return harness.violations(first, second)
                + KeyedRequestHarness.violationUnless(first.status() == STATUS_OK)
                + KeyedRequestHarness.violationUnless(same);
    }
}
