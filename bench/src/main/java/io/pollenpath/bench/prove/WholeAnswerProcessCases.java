package io.pollenpath.bench.prove;

import io.pollenpath.bench.BenchClient;
import io.pollenpath.bench.ChildProcess;
import io.pollenpath.bench.SystemHarness;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Lists the cases which check, with real processes, that a caller receives the complete answer to
 * its own request.
 */
final class WholeAnswerProcessCases {

    private static final String GUARANTEE = "whole-answer";
    private static final int TOKENS = 300;
    private static final int STATUS_OK = 200;
    private static final long READER_PAUSE_MS = 1_000;
    private static final long POLL_MS = 2;

    private WholeAnswerProcessCases() {}

    static List<FaultCase> all() {
        return List.of(
                withProcesses("entry-killed-resumed-elsewhere", ProcessTrial::entryKilled),
                withProcesses("reader-pauses", ProcessTrial::readerPauses),
                withProcesses("side-killed", ProcessTrial::sideKilled));
    }

    /** Injects a fault into a running system and returns the number of violations. */
    @FunctionalInterface
    private interface Scenario {

        int run(ProcessTrial trial) throws IOException;
    }

    private static FaultCase withProcesses(String fault, Scenario run) {
        return new FaultCase(
                GUARANTEE,
                fault,
                true,
                seed -> {
                    try (ProcessTrial trial = new ProcessTrial(seed)) {
                        return run.run(trial);
                    }
                });
    }

    private static final class ProcessTrial implements AutoCloseable {
        private final SystemHarness harness =
                new SystemHarness(Path.of(System.getProperty("pollenpath.root", ".")));
        private final NettyLoops loops = new NettyLoops(1);
        private final HttpClient client = new HttpClient(loops);
        private final Random random;
        private final byte[] body;

        ProcessTrial(long seed) throws IOException {
            random = new Random(seed);
            body = BenchClient.completion(SystemHarness.MODEL, "prompt " + seed, TOKENS, true);
            harness.addEngine("engine-1");
            harness.addEntry("entry-1");
            harness.addEntry("entry-2");
            harness.applyDeclarations();
            harness.awaitReady();
        }

        private StreamCaller send(
                ChildProcess process, String method, String path, Map<String, String> headers) {
            Map<String, String> allHeaders = new HashMap<>(headers);
            allHeaders.put("authorization", "Bearer " + SystemHarness.KEY);
            HttpAddress address = new HttpAddress("127.0.0.1", process.port());
            HttpClient.Request request =
                    new HttpClient.Request(address, method, path, allHeaders, body);
            return new StreamCaller(0).send(client, request);
        }

        private StreamCaller sendToEntry(int entry) {
            return send(harness.entries().get(entry), "POST", "/v1/completions", Map.of());
        }

        private static void awaitEvents(StreamCaller caller, int count) {
            while (caller.eventCount() < count) {
                Pause.forMs(POLL_MS);
            }
        }

        int entryKilled() throws IOException {
            StreamCaller first = sendToEntry(0);
            awaitEvents(first, 1 + random.nextInt(TOKENS / 2));
            harness.entries().get(0).kill();
            int lostStatus = first.awaitStatus();
            List<StreamCaller.Event> received = new ArrayList<>(first.events());
            String lastId = received.get(received.size() - 1).id();
            String path = "/v1/requests/" + requestId(lastId);
            StreamCaller second =
                    send(harness.entries().get(1), "GET", path, Map.of("last-event-id", lastId));
            int status = second.awaitStatus();
            received.addAll(second.events());
            boolean resumed = lostStatus == 0 && status == STATUS_OK;
            return (resumed ? 0 : 1) + violationsAgainstEngine(received);
        }

        int readerPauses() throws IOException {
            StreamCaller caller = sendToEntry(0);
            awaitEvents(caller, 1 + random.nextInt(TOKENS / 2));
            caller.setReading(false);
            Pause.forMs(READER_PAUSE_MS);
            caller.setReading(true);
            boolean whole = caller.awaitStatus() == STATUS_OK;
            return (whole ? 0 : 1) + violationsAgainstEngine(caller.events());
        }

        int sideKilled() throws IOException {
            StreamCaller caller = sendToEntry(0);
            awaitEvents(caller, 1 + random.nextInt(TOKENS / 2));
            harness.sides().get(0).kill();
            caller.awaitStatus();
            List<StreamCaller.Event> events = caller.events();
            StreamCaller.Event last = events.get(events.size() - 1);
            String errorData = new String(last.data(), StandardCharsets.UTF_8);
            boolean correctError =
                    last.type().equals("event: error")
                            && errorData.contains("\"executed\":\"yes\"");
            return correctError ? 0 : 1;
        }

        private static String requestId(String eventId) {
            return eventId.substring(eventId.indexOf('.') + 1, eventId.lastIndexOf('.'));
        }

        /**
         * Returns 1 if the events differ from those that the engine sends for the same request when
         * it is asked directly, otherwise 0.
         */
        private int violationsAgainstEngine(List<StreamCaller.Event> received) throws IOException {
            String id = requestId(received.get(0).id());
            StreamCaller direct =
                    send(
                            harness.engines().get(0),
                            "POST",
                            "/v1/completions",
                            Map.of("x-request-id", id));
            direct.awaitStatus();
            List<StreamCaller.Event> expected = direct.events();
            boolean same = expected.size() == received.size();
            for (int i = 0; same && i < received.size(); i++) {
                same = Arrays.equals(expected.get(i).data(), received.get(i).data());
            }
            return same ? 0 : 1;
        }

        @Override
        public void close() {
            client.close();
            loops.close();
            harness.close();
        }
    }
}
