package review.common;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Model engines that are the ranks of one group. All ranks execute each pass together; an idle
 * group makes no passes. Orders are accepted, refused and fenced as the protocol page says.
 */
public final class RankGroup implements AutoCloseable {

    /** What the manifest says of an engine. */
    public static final int LAYERS = 4;

    public static final int EXPERTS = 16;
    public static final int PLACEMENTS = 6;
    public static final int SPARE = 2;
    public static final int SLOTS = 8;

    private static final int EVENTS = 24;
    private static final long PASS_MS = 5;
    private static final long FETCH_MS = 110;
    private static final int SELECTIONS_PER_PASS = 20;
    private static final int ACCEPTED = 202;
    private static final int DONE = 200;
    private static final int CONFLICT = 409;
    private static final int FENCED = 412;

    private final CaseRecord record;
    private final Faults faults;
    private final List<Rank> ranks = new ArrayList<>();
    private final List<Stream> streams = new ArrayList<>();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2, this::daemon);
    private long step;
    private long mixedPasses;

    /** Decides which orders get no answer and are carried out late. */
    public interface Faults {

        /** Returns the delay of an order, in milliseconds; 0 to carry it out and answer now. */
        long delayMs(int rank, JsonNode order);
    }

    private static final class Rank {
        private int port;
        private long map;
        private long highestVersion;
        private List<List<Integer>> experts = new ArrayList<>();
        private long prepared;
        private List<List<Integer>> preparedExperts = new ArrayList<>();
        private long copyEndsNanos;
        private long armed;
        private long armedStep;
        private long held = -1;
        private long fence;
        private long seq;
        private final long[] counts = new long[LAYERS * EXPERTS];
    }

    /** A request that is being written. */
    private static final class Stream {
        private final int rank;
        private int events;

        private Stream(int rank) {
            this.rank = rank;
        }
    }

    /** Starts the ranks; each listens on a port of the loopback address. */
    public RankGroup(int size, CaseRecord record, Faults faults) throws IOException {
        this.record = record;
        this.faults = faults;
        for (int rank = 0; rank < size; rank++) {
            ranks.add(newRank(rank, size));
            ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            ranks.get(rank).port = listener.getLocalPort();
            int number = rank;
            start(() -> accept(number, listener));
        }
        clock.scheduleWithFixedDelay(this::pass, PASS_MS, PASS_MS, TimeUnit.MILLISECONDS);
    }

    private static Rank newRank(int rank, int size) {
        Rank created = new Rank();
        for (int layer = 0; layer < LAYERS; layer++) {
            List<Integer> hosted = new ArrayList<>();
            for (int expert = rank; expert < EXPERTS; expert += size) {
                hosted.add(expert);
            }
            created.experts.add(hosted);
        }
        return created;
    }

    /** Returns the part of a manifest that describes these engines. */
    public static ObjectNode engine() {
        return Json.object()
                .put("Slots", SLOTS)
                .put("KvCapacity", 186_666)
                .put("LinkMbps", 180_000.0)
                .put("Stride", 1)
                .put("step_ms", 4.55)
                .put("per_seq_ms", 0.1)
                .put("read_per_s", 61_400.0)
                .put("chunk", 512)
                .put("Sets", LAYERS)
                .put("Experts", EXPERTS)
                .put("Placements", PLACEMENTS)
                .put("Spare", SPARE)
                .put("ExpertMb", 2_500.0)
                .put("ExpertShare", 0.85)
                .put("form_ms", 600.0);
    }

    /** Returns the port of a rank. */
    public int port(int rank) {
        return ranks.get(rank).port;
    }

    /** Returns how many passes began while two ranks had different maps. */
    public synchronized long mixedPasses() {
        return mixedPasses;
    }

    /** Returns how many passes the group has begun. */
    public synchronized long passes() {
        return step;
    }

    /** Returns whether the group has no work. */
    public synchronized boolean isIdle() {
        return streams.isEmpty();
    }

    /** Returns how many ranks are armed. */
    public synchronized long armedRanks() {
        return ranks.stream().filter(rank -> rank.armed != 0).count();
    }

    /** Returns whether a rank holds a step. */
    public synchronized boolean isHeld() {
        return ranks.stream().anyMatch(rank -> rank.held >= 0);
    }

    private synchronized void pass() {
        long next = step + 1;
        if (streams.isEmpty() || ranks.stream().anyMatch(rank -> rank.held == next)) {
            return;
        }
        step = next;
        ranks.forEach(rank -> switchIfArmed(rank, next));
        checkMaps();
        for (Stream stream : List.copyOf(streams)) {
            stream.events++;
            count(ranks.get(stream.rank));
            if (stream.events >= EVENTS) {
                streams.remove(stream);
            }
        }
        notifyAll();
    }

    private static void switchIfArmed(Rank rank, long next) {
        if (rank.armed != 0 && rank.armedStep == next) {
            rank.map = rank.armed;
            rank.experts = rank.preparedExperts;
            rank.armed = 0;
            rank.prepared = 0;
        }
    }

    private void checkMaps() {
        long first = ranks.get(0).map;
        if (ranks.stream().allMatch(rank -> rank.map == first)) {
            return;
        }
        mixedPasses++;
        if (mixedPasses == 1) {
            record.add(
                    "MAP: pass " + step + " begins with the maps "
                            + ranks.stream().map(rank -> rank.map).toList());
        }
    }

    /** The work of one pass selects the experts of the first rank most of the time. */
    private void count(Rank rank) {
        for (int layer = 0; layer < LAYERS; layer++) {
            for (int i = 0; i < SELECTIONS_PER_PASS; i++) {
                int expert = i % 4 == 3 ? (int) (step + i) % EXPERTS : i % 4 * ranks.size();
                rank.counts[layer * EXPERTS + expert % EXPERTS]++;
            }
        }
    }

    private Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "rank");
        thread.setDaemon(true);
        return thread;
    }

    /** What a thread does until its connection ends. */
    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private void start(Work work) {
        daemon(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException | InterruptedException e) {
                                // The caller has closed the connection, or the case has ended.
                            }
                        })
                .start();
    }

    private void accept(int rank, ServerSocket listener) throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            start(() -> serve(rank, socket));
        }
    }

    private void serve(int rank, Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                byte[] body = Http.readBody(in, head);
                if (head.path().startsWith("/api/report")) {
                    answer(socket, DONE, report(rank));
                } else if (head.path().startsWith("/api/picked")) {
                    answer(socket, DONE, picked(rank, head.path().contains("Lists")));
                } else if (head.path().startsWith("/api/order")) {
                    order(rank, socket, Json.parse(body));
                } else {
                    stream(rank, socket, head.header("request-id"));
                }
            }
        }
    }

    private static void answer(Socket socket, int status, JsonNode json) throws IOException {
        byte[] body = Json.bytes(json);
        String head =
                "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        socket.getOutputStream().write(all);
    }

    private synchronized JsonNode report(int number) {
        Rank rank = ranks.get(number);
        ObjectNode report = Json.object().put("Stage", "both").put("Busy", isCopying(rank));
        report.put("Seq", rank.seq).put("Queued", 0).put("size", ranks.size()).put("pace", 1.0);
        report.put("step", step).put("Map", rank.map);
        report.putObject("group")
                .put("Name", "group-0")
                .put("epoch", 1)
                .put("rank", number)
                .put("State", "open");
        if (rank.prepared != 0 && !isCopying(rank)) {
            report.put("Prepared", rank.prepared);
        }
        if (rank.armed != 0) {
            report.putObject("Armed").put("Version", rank.armed).put("step", rank.armedStep);
        }
        if (rank.held >= 0) {
            report.put("held", rank.held);
        }
        return report;
    }

    private static boolean isCopying(Rank rank) {
        return rank.copyEndsNanos != 0 && System.nanoTime() - rank.copyEndsNanos < 0;
    }

    private synchronized JsonNode picked(int number, boolean lists) {
        Rank rank = ranks.get(number);
        ObjectNode picked = Json.object().put("step", step).put("epoch", 1);
        if (lists) {
            ObjectNode map = picked.putObject("Map").put("Version", rank.map);
            ArrayNode experts = map.putArray("Experts");
            for (List<Integer> layer : rank.experts) {
                ArrayNode list = experts.addArray();
                layer.forEach(list::add);
            }
            return picked;
        }
        ArrayNode counts = picked.putArray("Counts");
        for (long count : rank.counts) {
            counts.add(count);
        }
        return picked;
    }

    private void order(int rank, Socket socket, JsonNode order) throws IOException {
        long delayMs = faults.delayMs(rank, order);
        if (delayMs > 0) {
            record.add(describe(rank, order) + " gets no answer, is carried out in " + delayMs + " ms");
            clock.schedule(
                    () -> carryOut(rank, order, "late "), delayMs, TimeUnit.MILLISECONDS);
            return;
        }
        answer(socket, carryOut(rank, order, ""), Json.object());
    }

    private static String describe(int rank, JsonNode order) {
        Map<String, String> shown = new HashMap<>();
        for (String field : List.of("Version", "step", "FencingToken")) {
            if (order.has(field)) {
                shown.put(field, order.path(field).asText());
            }
        }
        return "rank " + rank + ": " + order.path("Op").asText() + " " + shown;
    }

    private synchronized int carryOut(int number, JsonNode order, String late) {
        Rank rank = ranks.get(number);
        long token = order.path("FencingToken").asLong();
        int status = token < rank.fence ? FENCED : apply(rank, order);
        if (status == ACCEPTED || status == DONE) {
            rank.fence = Math.max(rank.fence, token);
        }
        if (status == ACCEPTED) {
            rank.seq++;
        }
        record.add(late + describe(number, order) + " -> " + status);
        return status;
    }

    private int apply(Rank rank, JsonNode order) {
        if (order.has("epoch") && order.path("epoch").asLong() != 1) {
            return CONFLICT;
        }
        long version = order.path("Version").asLong();
        long orderedStep = order.path("step").asLong();
        return switch (order.path("Op").asText()) {
            case "prepare" -> prepare(rank, version, order.path("Map"));
            case "arm" -> arm(rank, version, orderedStep);
            case "disarm" -> disarm(rank, version);
            case "Hold" -> hold(rank, orderedStep);
            case "go" -> release(rank, orderedStep);
            default -> 400;
        };
    }

    private int prepare(Rank rank, long version, JsonNode map) {
        if (version == rank.prepared) {
            return DONE;
        }
        if (version <= rank.highestVersion || rank.armed != 0) {
            return CONFLICT;
        }
        List<List<Integer>> wanted = new ArrayList<>();
        int fetches = 0;
        for (int layer = 0; layer < LAYERS; layer++) {
            List<Integer> experts = new ArrayList<>();
            map.path(layer).path(ranks.indexOf(rank)).forEach(node -> experts.add(node.asInt()));
            int added =
                    (int) experts.stream().filter(e -> !holds(rank, wanted.size(), e)).count();
            if (added > SPARE) {
                return CONFLICT;
            }
            fetches += added;
            wanted.add(experts);
        }
        rank.highestVersion = version;
        rank.prepared = version;
        rank.preparedExperts = wanted;
        rank.copyEndsNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fetches * FETCH_MS);
        return ACCEPTED;
    }

    private static boolean holds(Rank rank, int layer, int expert) {
        return rank.experts.get(layer).contains(expert);
    }

    private int arm(Rank rank, long version, long armStep) {
        if (rank.armed == version && rank.armedStep == armStep) {
            return DONE;
        }
        if (rank.prepared != version || isCopying(rank) || armStep <= step) {
            return CONFLICT;
        }
        rank.armed = version;
        rank.armedStep = armStep;
        return ACCEPTED;
    }

    private static int disarm(Rank rank, long version) {
        if (rank.map == version) {
            return CONFLICT;
        }
        if (rank.armed != version) {
            return DONE;
        }
        rank.armed = 0;
        return ACCEPTED;
    }

    private int hold(Rank rank, long heldStep) {
        if (rank.held == heldStep) {
            return DONE;
        }
        if (heldStep <= step || rank.held >= 0) {
            return CONFLICT;
        }
        rank.held = heldStep;
        return ACCEPTED;
    }

    private static int release(Rank rank, long heldStep) {
        if (rank.held != heldStep) {
            return DONE;
        }
        rank.held = -1;
        return ACCEPTED;
    }

    private void stream(int rank, Socket socket, String requestId)
            throws IOException, InterruptedException {
        Stream stream = new Stream(rank);
        synchronized (this) {
            streams.add(stream);
        }
        try {
            writeEvents(stream, socket, requestId);
        } finally {
            synchronized (this) {
                streams.remove(stream);
            }
        }
    }

    /** Writes each event when its pass has ended; the head comes with the first one. */
    private void writeEvents(Stream stream, Socket socket, String requestId)
            throws IOException, InterruptedException {
        int written = 0;
        while (written < EVENTS) {
            int made = awaitEvents(stream, written, socket);
            StringBuilder text = new StringBuilder();
            if (written == 0) {
                text.append("HTTP/1.1 200 OK\r\nRequest-Id: ").append(requestId);
                text.append("\r\nUpstream-Signature: proof\r\nContent-Type: text/event-stream\r\n");
                text.append("Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            for (int event = written + 1; event <= made; event++) {
                String piece = "id: " + event + "\ndata: token\n\n";
                text.append(Integer.toHexString(piece.length())).append("\r\n");
                text.append(piece).append("\r\n");
            }
            text.append(made == EVENTS ? "0\r\n\r\n" : "");
            socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            written = made;
        }
    }

    private synchronized int awaitEvents(Stream stream, int written, Socket socket)
            throws IOException, InterruptedException {
        while (stream.events <= written) {
            wait(100);
            if (isClosedByCaller(socket)) {
                throw new IOException("the caller has closed the connection");
            }
        }
        return stream.events;
    }

    /** Engines drop a request when its connection closes. */
    private static boolean isClosedByCaller(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    @Override
    public void close() {
        clock.shutdownNow();
    }
}
