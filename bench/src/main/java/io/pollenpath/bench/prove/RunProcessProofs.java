package io.pollenpath.bench.prove;

import io.pollenpath.bench.ChildProcess;
import io.pollenpath.bench.Signals;
import io.pollenpath.bench.TestBed;
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
final class RunProcessProofs {

    private static final String PROMISE = "at-most-once,not-run-is-true";
    private static final long PAUSE_MS = 300;
    private static final int STATUS_OK = 200;

    private RunProcessProofs() {}

    static List<ProofCase> all() {
        return List.of(
                faultCase("side-killed-after-send", RunProcessProofs::sideKilled),
                faultCase("side-frozen-late-wake", RunProcessProofs::sideFrozen),
                faultCase("side-frozen-before-send", RunProcessProofs::frozenBeforeSend),
                faultCase("entry-killed-after-send", RunProcessProofs::entryKilled),
                faultCase("object-api-down", RunProcessProofs::storeDown),
                faultCase("object-api-answer-lost", RunProcessProofs::answerLost));
    }

    /** Sends requests while a fault is injected, and returns the number of violations. */
    private interface Scene {
        int play(KeyedRequestBed harness) throws IOException;
    }

    private static ProofCase faultCase(String fault, Scene scenario) {
        return new ProofCase(PROMISE, "processes/" + fault, true, seed -> run(scenario, seed));
    }

    private static int run(Scene scenario, long seed) throws IOException {
        try (TestBed harness = KeyedRequestBed.start()) {
            return scenario.play(new KeyedRequestBed(harness, "key-" + seed));
        }
    }

    private static int sideKilled(KeyedRequestBed harness) throws IOException {
        CompletableFuture<HttpReply> first = harness.send(0);
        harness.runningSide().kill();
        HttpReply firstReply = first.join();
        HttpReply retry = harness.send(1).join();
        return harness.violations(firstReply, retry)
                + KeyedRequestBed.unless(retry.status() != STATUS_OK);
    }

    private static int sideFrozen(KeyedRequestBed harness) throws IOException {
        CompletableFuture<HttpReply> first = harness.send(0);
        ChildProcess side = harness.runningSide();
        Signals.freeze(side);
        CompletableFuture<HttpReply> retry = harness.send(1);
        Pause.forMs(PAUSE_MS);
        Signals.resume(side);
        HttpReply answer = retry.join();
        return harness.violations(first.join(), answer)
                + KeyedRequestBed.unless(answer.status() == STATUS_OK);
    }

    private static int frozenBeforeSend(KeyedRequestBed harness) throws IOException {
        List<ChildProcess> sides = harness.sides();
        for (ChildProcess side : sides) {
            Signals.freeze(side);
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
        return harness.violations(firstReply, retryReply) + KeyedRequestBed.unless(answered);
    }

    private static int entryKilled(KeyedRequestBed harness) throws IOException {
        CompletableFuture<HttpReply> first = harness.send(0);
        harness.runningSide();
        harness.entry(0).kill();
        first.exceptionally(connectionLost -> null).join();
        HttpReply answer = harness.send(1).join();
        return harness.violations(answer) + KeyedRequestBed.unless(answer.status() == STATUS_OK);
    }

    private static int storeDown(KeyedRequestBed harness) throws IOException {
        harness.storeFault("down");
        HttpReply refusal = harness.send(0).join();
        boolean hasRetryAfter = refusal.headers().contains("retry-after");
        harness.storeFault("none");
        HttpReply answer = harness.send(1).join();
        return harness.violations(refusal, answer)
                + KeyedRequestBed.unless(hasRetryAfter)
                + KeyedRequestBed.unless(answer.status() == STATUS_OK);
    }

    private static int answerLost(KeyedRequestBed harness) throws IOException {
        harness.storeFault("lost");
        HttpReply first = harness.send(0).join();
        HttpReply second = harness.send(1).join();
        boolean same = Arrays.equals(first.body(), second.body());
        return harness.violations(first, second)
                + KeyedRequestBed.unless(first.status() == STATUS_OK)
                + KeyedRequestBed.unless(same);
    }
}
