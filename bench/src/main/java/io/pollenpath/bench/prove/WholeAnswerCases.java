package io.pollenpath.bench.prove;

import io.pollenpath.transport.entry.DeliveryLimits;
import io.pollenpath.transport.side.AnswerLimits;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Lists the cases which check, within this process, that a caller receives the complete answer to
 * its own request and no part of another.
 */
final class WholeAnswerCases {

    private static final String GUARANTEE = "whole-answer";
    private static final int REQUESTS = 6;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String NOT_RUN = "\"executed\":\"no\"";
    private static final long RETRY_MS = 20;
    private static final long READER_PAUSE_MS = 300;

    /** Upper bound of the bytes that the socket buffers of the kernel hold for a slow reader. */
    private static final long MAX_KERNEL_BUFFER_BYTES = 16L * 1_048_576;

    private static final DeliveryLimits DELIVERY_LIMITS =
            new DeliveryLimits(2_048, 1_048_576, 3_000, 10_000);
    private static final AnswerLimits ANSWER_LIMITS =
            new AnswerLimits(2_048, 65_536, 8_388_608, 10_000);

    private WholeAnswerCases() {}

    static List<FaultCase> all() {
        return List.of(
                inProcess(
                        "late-doubled-reordered",
                        seed -> answersOverFaultyLinks(seed, new FaultyRelay.Faults(0.2, 0.2, 0))),
                inProcess(
                        "link-lost",
                        seed ->
                                answersOverFaultyLinks(
                                        seed, new FaultyRelay.Faults(0.1, 0.1, 0.01))),
                inProcess("caller-resumes-elsewhere", WholeAnswerCases::callerResumesElsewhere),
                inProcess("slow-reader", WholeAnswerCases::slowReader),
                inProcess("side-gone", WholeAnswerCases::sideTerminated),
                inProcess("server-lost-in-whole-body", WholeAnswerCases::serverLostInWholeBody),
                inProcess("other-customer-resumes", WholeAnswerCases::otherCustomerResumes));
    }

    private static FaultCase inProcess(String fault, FaultCase.Trial trial) {
        return new FaultCase(GUARANTEE, fault, false, trial);
    }

    private static ScriptedBackend smallAnswers() {
        return new ScriptedBackend(120, 60, 0);
    }

    private static int answersOverFaultyLinks(long seed, FaultyRelay.Faults faults)
            throws IOException {
        ScriptedBackend backend = smallAnswers();
        int violations = 0;
        try (AnswerHarness harness =
                new AnswerHarness(List.of(backend), faults, DELIVERY_LIMITS, ANSWER_LIMITS, seed)) {
            List<byte[]> bodies = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                byte[] body = AnswerHarness.completionBody("prompt " + seed + " " + i, i % 3 != 0);
                bodies.add(body);
            }
            List<StreamCaller> callers = sendAll(harness, bodies);
            for (int i = 0; i < REQUESTS; i++) {
                violations +=
                        violationUnless(
                                isWhole(backend, bodies.get(i), callers.get(i), i % 3 != 0));
            }
            violations += violationUnless(backend.runs() == REQUESTS);
        }
        return violations;
    }

    private static int violationUnless(boolean condition) {
        return condition ? 0 : 1;
    }

    private static boolean isWhole(
            ScriptedBackend backend, byte[] body, StreamCaller caller, boolean streamed)
            throws IOException {
        int status = caller.awaitStatus();
        boolean whole =
                streamed
                        ? status == STATUS_OK
                                && sameData(backend.answerPieces(body), caller.events())
                        : status == backend.wholeStatus()
                                && Arrays.equals(backend.wholeBody(body), caller.body());
        if (!whole) {
            System.err.printf(
                    "event=answer_not_whole status=%d streamed=%s pieces=%d of=%d last=%s%n",
                    status,
                    streamed,
                    caller.eventCount(),
                    backend.answerPieces(body).size(),
                    caller.bodyTail());
        }
        return whole;
    }

    /**
     * Sends all requests concurrently. Sends a request again as long as it is refused with the
     * statement that it was not run.
     */
    private static List<StreamCaller> sendAll(AnswerHarness harness, List<byte[]> bodies)
            throws IOException {
        List<StreamCaller> callers = new ArrayList<>();
        for (int i = 0; i < bodies.size(); i++) {
            StreamCaller caller = new StreamCaller(0);
            callers.add(
                    caller.send(harness.client(), harness.post(i % 2, bodies.get(i), Map.of())));
        }
        for (int i = 0; i < bodies.size(); i++) {
            StreamCaller caller = callers.get(i);
            while (caller.awaitStatus() == STATUS_UNAVAILABLE
                    && caller.bodyTail().contains(NOT_RUN)) {
                Pause.forMs(RETRY_MS);
                caller = new StreamCaller(0);
                caller.send(harness.client(), harness.post(i % 2, bodies.get(i), Map.of()));
            }
            callers.set(i, caller);
        }
        return callers;
    }

    private static boolean sameData(List<byte[]> pieces, List<StreamCaller.Event> events) {
        return pieces.size() == events.size() && isPrefix(events, pieces);
    }

    private static boolean isPrefix(List<StreamCaller.Event> events, List<byte[]> pieces) {
        for (int i = 0; i < events.size(); i++) {
            StreamCaller.Event event = events.get(i);
            if (!event.type().isEmpty() || !Arrays.equals(event.data(), pieces.get(i))) {
                return false;
            }
        }
        return true;
    }

    private static String firstDifference(List<byte[]> pieces, List<StreamCaller.Event> events) {
        for (int i = 0; i < Math.min(pieces.size(), events.size()); i++) {
            StreamCaller.Event event = events.get(i);
            if (!Arrays.equals(pieces.get(i), event.data())) {
                return i + ":" + event.id() + ":" + event.type();
            }
        }
        return "none";
    }

    private static int callerResumesElsewhere(long seed) throws IOException {
        ScriptedBackend backend = smallAnswers();
        Random random = new Random(seed);
        try (AnswerHarness harness =
                new AnswerHarness(
                        List.of(backend),
                        new FaultyRelay.Faults(0.05, 0.05, 0),
                        DELIVERY_LIMITS,
                        ANSWER_LIMITS,
                        seed)) {
            byte[] body = AnswerHarness.completionBody("prompt " + seed, true);
            List<StreamCaller.Event> received = new ArrayList<>();
            StreamCaller caller = new StreamCaller(1 + random.nextInt(30));
            caller.send(harness.client(), harness.post(0, body, Map.of()));
            int entry = 0;
            while (caller.awaitStatus() != STATUS_OK) {
                received.addAll(caller.events());
                entry = 1 - entry;
                String lastId = received.get(received.size() - 1).id();
                byte[] repeated = random.nextBoolean() ? body : null;
                caller = new StreamCaller(random.nextInt(40));
                caller.send(
                        harness.client(),
                        harness.resume(entry, AnswerHarness.KEY, lastId, repeated));
            }
            received.addAll(caller.events());
            boolean whole = sameData(backend.answerPieces(body), received);
            if (!whole) {
                System.err.printf(
                        "event=resumed_answer_not_whole pieces=%d of=%d runs=%d differs=%s%n",
                        received.size(),
                        backend.answerPieces(body).size(),
                        backend.runs(),
                        firstDifference(backend.answerPieces(body), received));
            }
            return violationUnless(whole) + violationUnless(backend.runs() == 1);
        }
    }

    private static int slowReader(long seed) throws IOException {
        ScriptedBackend backend = new ScriptedBackend(3_000, 16_384, 0);
        AnswerLimits answers = new AnswerLimits(65_536, 262_144, 1_048_576, 10_000);
        DeliveryLimits delivery = new DeliveryLimits(65_536, 1_048_576, 3_000, 10_000);
        try (AnswerHarness harness =
                new AnswerHarness(List.of(backend), null, delivery, answers, seed)) {
            byte[] body = AnswerHarness.completionBody("prompt " + seed, true);
            StreamCaller caller = new StreamCaller(0);
            caller.send(harness.client(), harness.post(0, body, Map.of()));
            while (caller.eventCount() == 0) {
                Pause.forMs(1);
            }
            caller.setReading(false);
            Pause.forMs(READER_PAUSE_MS);
            long unreadBytes = backend.emittedBytes() - caller.byteCount();
            boolean bounded = unreadBytes < MAX_KERNEL_BUFFER_BYTES && backend.pauses() > 0;
            if (!bounded) {
                System.err.printf(
                        "event=slow_reader_not_bounded emitted=%d unread=%d pauses=%d%n",
                        backend.emittedBytes(), unreadBytes, backend.pauses());
            }
            caller.setReading(true);
            return violationUnless(isWhole(backend, body, caller, true)) + violationUnless(bounded);
        }
    }

    private static int sideTerminated(long seed) throws IOException {
        ScriptedBackend backend = new ScriptedBackend(200_000, 400, 0);
        try (AnswerHarness harness =
                new AnswerHarness(List.of(backend), null, DELIVERY_LIMITS, ANSWER_LIMITS, seed)) {
            byte[] body = AnswerHarness.completionBody("prompt " + seed, true);
            StreamCaller caller = new StreamCaller(0);
            caller.send(harness.client(), harness.post(0, body, Map.of()));
            while (caller.eventCount() == 0) {
                Pause.forMs(1);
            }
            harness.crashSides();
            int status = caller.awaitStatus();
            List<StreamCaller.Event> events = caller.events();
            StreamCaller.Event last = events.get(events.size() - 1);
            String errorData = new String(last.data(), StandardCharsets.UTF_8);
            boolean correctError =
                    last.type().equals("event: error")
                            && errorData.contains("\"executed\":\"yes\"");
            boolean prefix =
                    isPrefix(events.subList(0, events.size() - 1), backend.answerPieces(body));
            return violationUnless(status == STATUS_OK && correctError) + violationUnless(prefix);
        }
    }

    private static int serverLostInWholeBody(long seed) throws IOException {
        ScriptedBackend failingBackend = new ScriptedBackend(60, 60, 3);
        ScriptedBackend healthyBackend = new ScriptedBackend(60, 60, 0);
        int violations = 0;
        try (AnswerHarness harness =
                new AnswerHarness(
                        List.of(failingBackend, healthyBackend),
                        null,
                        DELIVERY_LIMITS,
                        ANSWER_LIMITS,
                        seed)) {
            for (int i = 0; i < REQUESTS; i++) {
                byte[] body = AnswerHarness.completionBody("prompt " + seed + " " + i, false);
                sendUntilAnsweredBy(harness, i % 2, healthyBackend);
                StreamCaller caller = new StreamCaller(0);
                caller.send(harness.client(), harness.post(i % 2, body, Map.of()));
                violations += violationUnless(isWhole(healthyBackend, body, caller, false));
            }
        }
        return violations;
    }

    /** Sends requests to an entry until one is answered successfully by a server. */
    private static void sendUntilAnsweredBy(
            AnswerHarness harness, int entry, ScriptedBackend server) throws IOException {
        byte[] body = AnswerHarness.completionBody("first", false);
        int status = 0;
        while (status != server.wholeStatus()) {
            StreamCaller caller = new StreamCaller(0);
            status =
                    caller.send(harness.client(), harness.post(entry, body, Map.of()))
                            .awaitStatus();
        }
    }

    private static int otherCustomerResumes(long seed) throws IOException {
        ScriptedBackend backend = smallAnswers();
        try (AnswerHarness harness =
                new AnswerHarness(List.of(backend), null, DELIVERY_LIMITS, ANSWER_LIMITS, seed)) {
            byte[] body = AnswerHarness.completionBody("prompt " + seed, true);
            StreamCaller owner = new StreamCaller(2);
            owner.send(harness.client(), harness.post(0, body, Map.of()));
            owner.awaitStatus();
            String lastId = owner.events().get(0).id();
            StreamCaller other = new StreamCaller(0);
            other.send(harness.client(), harness.resume(1, AnswerHarness.OTHER_KEY, lastId, null));
            int otherStatus = other.awaitStatus();
            StreamCaller resumed = new StreamCaller(0);
            resumed.send(harness.client(), harness.resume(1, AnswerHarness.KEY, lastId, null));
            resumed.awaitStatus();
            List<StreamCaller.Event> received = new ArrayList<>(owner.events().subList(0, 1));
            received.addAll(resumed.events());
            return violationUnless(otherStatus == STATUS_NOT_FOUND)
                    + violationUnless(sameData(backend.answerPieces(body), received));
        }
    }
}
