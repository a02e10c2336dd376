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

/** Proves the promises about non-idempotent requests with real processes. */
final class RunProcessProofs {

    private static final String PROMISE = "at-most-once,not-run-is-true";
    private static final long PAUSE_MS = 300;
    private static final int STATUS_OK = 200;

    private RunProcessProofs() {}

    static List<ProofCase> all() {
        return List.of(
                proof("side-killed-after-send", RunProcessProofs::sideKilled),
                proof("side-frozen-late-wake", RunProcessProofs::sideFrozen),
                proof("side-frozen-before-send", RunProcessProofs::frozenBeforeSend),
                proof("entry-killed-after-send", RunProcessProofs::entryKilled),
                proof("object-api-down", RunProcessProofs::storeDown),
                proof("object-api-answer-lost", RunProcessProofs::answerLost));
    }

    /** Does something to the processes and returns the number of violations seen. */
    private interface Scene {
        int play(KeyedRequestBed bed) throws IOException;
    }

    private static ProofCase proof(String fault, Scene scene) {
        return new ProofCase(PROMISE, "processes/" + fault, true, seed -> run(scene, seed));
    }

    private static int run(Scene scene, long seed) throws IOException {
        try (TestBed bed = KeyedRequestBed.start()) {
            return scene.play(new KeyedRequestBed(bed, "key-" + seed));
        }
    }

    private static int sideKilled(KeyedRequestBed bed) throws IOException {
        CompletableFuture<HttpReply> first = bed.send(0);
        bed.runningSide().kill();
        HttpReply lost = first.join();
        HttpReply retry = bed.send(1).join();
        return bed.violations(lost, retry) + KeyedRequestBed.unless(retry.status() != STATUS_OK);
    }

    private static int sideFrozen(KeyedRequestBed bed) throws IOException {
        CompletableFuture<HttpReply> first = bed.send(0);
        ChildProcess side = bed.runningSide();
        Signals.freeze(side);
        CompletableFuture<HttpReply> retry = bed.send(1);
        Pause.forMs(PAUSE_MS);
        Signals.resume(side);
        HttpReply answer = retry.join();
        return bed.violations(first.join(), answer)
                + KeyedRequestBed.unless(answer.status() == STATUS_OK);
    }

    private static int frozenBeforeSend(KeyedRequestBed bed) throws IOException {
        List<ChildProcess> sides = bed.sides();
        for (ChildProcess side : sides) {
            Signals.freeze(side);
        }
        CompletableFuture<HttpReply> first = bed.send(0);
        CompletableFuture<HttpReply> retry = bed.send(1);
        Pause.forMs(PAUSE_MS);
        for (ChildProcess side : sides) {
            Signals.resume(side);
        }
        HttpReply one = first.join();
        HttpReply two = retry.join();
        boolean answered = one.status() == STATUS_OK || two.status() == STATUS_OK;
        return bed.violations(one, two) + KeyedRequestBed.unless(answered);
    }

    private static int entryKilled(KeyedRequestBed bed) throws IOException {
        CompletableFuture<HttpReply> first = bed.send(0);
        bed.runningSide();
        bed.entry(0).kill();
        first.exceptionally(gone -> null).join();
        HttpReply answer = bed.send(1).join();
        return bed.violations(answer) + KeyedRequestBed.unless(answer.status() == STATUS_OK);
    }

    private static int storeDown(KeyedRequestBed bed) throws IOException {
        bed.storeFault("down");
        HttpReply refused = bed.send(0).join();
        boolean toldWhen = refused.headers().contains("retry-after");
        bed.storeFault("none");
        HttpReply answer = bed.send(1).join();
        return bed.violations(refused, answer)
                + KeyedRequestBed.unless(toldWhen)
                + KeyedRequestBed.unless(answer.status() == STATUS_OK);
    }

    private static int answerLost(KeyedRequestBed bed) throws IOException {
        bed.storeFault("lost");
        HttpReply first = bed.send(0).join();
        HttpReply second = bed.send(1).join();
        boolean same = Arrays.equals(first.body(), second.body());
        return bed.violations(first, second)
                + KeyedRequestBed.unless(first.status() == STATUS_OK)
                + KeyedRequestBed.unless(same);
    }
}
