package io.pollenpath.bench.prove;

import io.pollenpath.bench.BenchClient;
import io.pollenpath.bench.ChildProcess;
import io.pollenpath.bench.TestBed;
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

/** Lists the cases of the whole answer that kill real processes. */
final class WholeAnswerProcessCases {

    private static final String PROMISE = "whole-answer";
    private static final int TOKENS = 300;
    private static final int STATUS_OK = 200;
    private static final long SLOW_READER_MS = 1_000;
    private static final long POLL_MS = 2;

    private WholeAnswerProcessCases() {}

    static List<ProofCase> all() {
        return List.of(
                withProcesses("entry-killed-resumed-elsewhere", Trial::entryKilled),
                withProcesses("reader-pauses", Trial::readerPauses),
                withProcesses("side-killed", Trial::sideKilled));
    }

    /** One fault in a running system. */
    @FunctionalInterface
    private interface Fault {

        int run(Trial trial) throws IOException;
    }

    private static ProofCase withProcesses(String fault, Fault run) {
        return new ProofCase(
                PROMISE,
                fault,
                true,
                seed -> {
                    try (Trial trial = new Trial(seed)) {
                        return run.run(trial);
                    }
                });
    }

    private static final class Trial implements AutoCloseable {
        private final TestBed bed =
                new TestBed(Path.of(System.getProperty("pollenpath.root", ".")));
        private final NettyLoops loops = new NettyLoops(1);
        private final HttpClient client = new HttpClient(loops);
        private final Random random;
        private final byte[] body;

        Trial(long seed) throws IOException {
            random = new Random(seed);
            body = BenchClient.completion(TestBed.MODEL, "prompt " + seed, TOKENS, true);
            bed.addEngine("engine-1");
            bed.addEntry("entry-1");
            bed.addEntry("entry-2");
            bed.apply();
            bed.awaitReady();
        }

        private StreamCaller send(
                ChildProcess to, String method, String path, Map<String, String> headers) {
            Map<String, String> all = new HashMap<>(headers);
            all.put("authorization", "Bearer " + TestBed.KEY);
            HttpAddress address = new HttpAddress("127.0.0.1", to.port());
            HttpClient.Request request = new HttpClient.Request(address, method, path, all, body);
            return new StreamCaller(0).send(client, request);
        }

        private StreamCaller sendToEntry(int entry) {
            return send(bed.entries().get(entry), "POST", "/v1/completions", Map.of());
        }

        private static void awaitEvents(StreamCaller caller, int count) {
            while (caller.eventCount() < count) {
                Pause.forMs(POLL_MS);
            }
        }

        int entryKilled() throws IOException {
            StreamCaller first = sendToEntry(0);
            awaitEvents(first, 1 + random.nextInt(TOKENS / 2));
            bed.entries().get(0).kill();
            int lostStatus = first.await();
            List<StreamCaller.Event> got = new ArrayList<>(first.events());
            String lastId = got.get(got.size() - 1).id();
            String path = "/v1/requests/" + requestId(lastId);
            StreamCaller second =
                    send(bed.entries().get(1), "GET", path, Map.of("last-event-id", lastId));
            int status = second.await();
            got.addAll(second.events());
            boolean cut = lostStatus == 0 && status == STATUS_OK;
            return (cut ? 0 : 1) + differences(got);
        }

        int readerPauses() throws IOException {
            StreamCaller caller = sendToEntry(0);
            awaitEvents(caller, 1 + random.nextInt(TOKENS / 2));
            caller.setReading(false);
            Pause.forMs(SLOW_READER_MS);
            caller.setReading(true);
            boolean whole = caller.await() == STATUS_OK;
            return (whole ? 0 : 1) + differences(caller.events());
        }

        int sideKilled() throws IOException {
            StreamCaller caller = sendToEntry(0);
            awaitEvents(caller, 1 + random.nextInt(TOKENS / 2));
            bed.sides().get(0).kill();
            caller.await();
            List<StreamCaller.Event> events = caller.events();
            StreamCaller.Event last = events.get(events.size() - 1);
            String problem = new String(last.data(), StandardCharsets.UTF_8);
            boolean truthful =
                    last.type().equals("event: error") && problem.contains("\"executed\":\"yes\"");
            return truthful ? 0 : 1;
        }

        private static String requestId(String eventId) {
            return eventId.substring(eventId.indexOf('.') + 1, eventId.lastIndexOf('.'));
        }

        /** Compares with what the engine itself says to the same request. */
        private int differences(List<StreamCaller.Event> got) throws IOException {
            String id = requestId(got.get(0).id());
            StreamCaller direct =
                    send(
                            bed.engines().get(0),
                            "POST",
                            "/v1/completions",
                            Map.of("x-request-id", id));
            direct.await();
            List<StreamCaller.Event> wanted = direct.events();
            boolean same = wanted.size() == got.size();
            for (int i = 0; same && i < got.size(); i++) {
                same = Arrays.equals(wanted.get(i).data(), got.get(i).data());
            }
            return same ? 0 : 1;
        }

        @Override
        public void close() {
            client.close();
            loops.close();
            bed.close();
        }
    }
}
