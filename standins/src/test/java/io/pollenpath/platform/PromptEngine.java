package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin.ReceivedRequest;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.util.Pause;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An engine that streams events at a steady pace. Its process ends when it begins to write an
 * answer on a crashing part of a prompt or to a crashing request, and starts again a while later,
 * at the same address and with a new identity.
 */
final class PromptEngine implements AutoCloseable {

    /** The number of events of a whole answer. */
    static final int EVENTS = 12;

    /** Requests with this path end the process of the engine that begins to answer them. */
    static final String CRASHING_PATH = "/stream/crash";

    private static final int SLOTS = 8;
    private static final int BACKLOG = 128;
    private static final long FIRST_EVENT_MS = 40;
    private static final long EVENT_INTERVAL_MS = 20;

    private final String name;
    private final String service;
    private final Behaviour behaviour;
    private final PlatformStoreStandin store;
    private final ExecutorService threads = Executors.newCachedThreadPool(PromptEngine::daemon);
    private final ScheduledExecutorService restarts =
            Executors.newSingleThreadScheduledExecutor(PromptEngine::daemon);
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<End> ends = new CopyOnWriteArrayList<>();
    private final Set<String> begun = Collections.synchronizedSet(new HashSet<>());
    private final int port;
    private volatile Life life;
    private int boots;

    /**
     * How the engines of a test behave.
     *
     * @param crashingParts the parts of prompts that end the engine
     * @param random decides on each answer's framing and each end's kind
     * @param restartMs the shortest time until an engine that ended starts again; the longest is
     *     twice as long, in milliseconds
     * @param unframedShare the share of answers with neither a length nor chunks
     * @param ordinaryCloseShare the share of ends at which connections are closed, not reset
     * @param group the group in which all engines work; empty if each works alone
     */
    record Behaviour(
            Set<String> crashingParts,
            SharedRandom random,
            long restartMs,
            double unframedShare,
            double ordinaryCloseShare,
            Optional<EngineGroup> group) {}

    /** A request that the engine received. */
    record Arrival(long nanos, String requestId, String path, List<String> parts) {}

    /** An end of the process, with the parts of the prompt that caused it; empty if none did. */
    record End(long nanos, List<String> parts, String path) {}

    /** One process of the engine. */
    private final class Life {
        private final ServerSocket listener = new ServerSocket();
        private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
        private final Semaphore slots = new Semaphore(SLOTS, true);
        private final AtomicBoolean ended = new AtomicBoolean();

        Life(int onPort) throws IOException {
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), onPort), BACKLOG);
        }

        private void acceptAll() {
            try {
                while (!ended.get()) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    threads.execute(() -> serve(socket));
                }
            } catch (IOException e) {
                // The process ended, so no more connections arrive.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean reusable = true;
                while (reusable && !ended.get()) {
                    reusable = answer(socket.getOutputStream(), RequestReader.read(in));
                }
            } catch (IOException e) {
                // The caller closed the connection, or the process ended.
            }
        }

        private boolean answer(OutputStream out, ReceivedRequest request) throws IOException {
            Arrival arrival = arrival(request);
            arrivals.add(arrival);
            slots.acquireUninterruptibly();
            try {
                return run(out, request, arrival);
            } finally {
                slots.release();
            }
        }

        private boolean run(OutputStream out, ReceivedRequest request, Arrival arrival)
                throws IOException {
            boolean framed = behaviour.random().nextDouble() >= behaviour.unframedShare();
            if (isGroupDown()) {
                return turnAway(out, request);
            }
            int epoch = groupEpoch();
            Pause.forMs(FIRST_EVENT_MS);
            if (ended.get()) {
                return false;
            }
            if (groupEpoch() != epoch) {
                return turnAway(out, request);
            }
            int first = firstEvent(request);
            if (crashes(arrival)) {
                beginToWrite(out, request, first, framed);
                end(arrival);
                return false;
            }
            begun.add(arrival.requestId());
            writeHead(out, request, framed);
            for (int i = first; i <= EVENTS; i++) {
                write(out, event(i), framed);
                Pause.forMs(EVENT_INTERVAL_MS);
                if (ended.get()) {
                    return false;
                }
                if (groupEpoch() != epoch) {
                    awaitEndOfStall();
                    throw new IOException("the group lost an engine");
                }
            }
            if (framed) {
                out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            }
            return framed;
        }

        private boolean turnAway(OutputStream out, ReceivedRequest request) throws IOException {
            awaitEndOfStall();
            String head =
                    "HTTP/1.1 503 Status\r\nRequest-Id: "
                            + request.header("request-id")
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.flush();
            return true;
        }

        /** Writes nothing, the head or the head and one event. */
        private void beginToWrite(
                OutputStream out, ReceivedRequest request, int first, boolean framed)
                throws IOException {
            int pieces = behaviour.random().nextInt(3);
            if (pieces >= 1) {
                writeHead(out, request, framed);
            }
            if (pieces >= 2) {
                write(out, event(first), framed);
            }
        }

        void end(Arrival cause) throws IOException {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            ends.add(
                    cause == null
                            ? new End(System.nanoTime(), List.of(), "")
                            : new End(System.nanoTime(), cause.parts(), cause.path()));
            behaviour.group().ifPresent(EngineGroup::onEnd);
            boolean ordinary = behaviour.random().nextDouble() < behaviour.ordinaryCloseShare();
            listener.close();
            for (Socket socket : sockets) {
                if (!socket.isClosed()) {
                    closeAtEnd(socket, ordinary);
                }
            }
            long delayMs = (long) (behaviour.restartMs() * (1 + behaviour.random().nextDouble()));
            restarts.schedule(PromptEngine.this::restart, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    PromptEngine(String name, String service, Behaviour behaviour, PlatformStoreStandin store)
            throws IOException {
        this.name = name;
        this.service = service;
        this.behaviour = behaviour;
        this.store = store;
        life = new Life(0);
        port = life.listener.getLocalPort();
        startLife();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "prompt-engine");
        thread.setDaemon(true);
        return thread;
    }

    private static void closeAtEnd(Socket socket, boolean ordinary) throws IOException {
        if (!ordinary) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    private String id() {
        return name + "-" + boots;
    }

    private synchronized void startLife() {
        Life started = life;
        threads.execute(started::acceptAll);
        store.put(StoreKinds.SERVERS, id(), PlatformFixtures.serverEntry(service, port));
    }

    private synchronized void restart() {
        store.delete(StoreKinds.SERVERS, id());
        boots++;
        try {
            life = new Life(port);
        } catch (IOException e) {
            throw new IllegalStateException("the engine can't listen again on port " + port, e);
        }
        startLife();
    }

    private boolean isGroupDown() {
        return behaviour.group().map(EngineGroup::isDown).orElse(false);
    }

    private int groupEpoch() {
        return behaviour.group().map(EngineGroup::epoch).orElse(0);
    }

    private void awaitEndOfStall() {
        behaviour.group().ifPresent(group -> Pause.forMs(group.stallLeftMs()));
    }

    private boolean crashes(Arrival arrival) {
        return arrival.path().startsWith(CRASHING_PATH)
                || !Collections.disjoint(arrival.parts(), behaviour.crashingParts());
    }

    private static Arrival arrival(ReceivedRequest request) {
        List<String> parts =
                Arrays.stream(request.header("prompt-prefix").split(","))
                        .map(part -> part.split(":", 2)[0])
                        .toList();
        return new Arrival(System.nanoTime(), request.header("request-id"), request.path(), parts);
    }

    private static void writeHead(OutputStream out, ReceivedRequest request, boolean framed)
            throws IOException {
        String head =
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                        + request.header("request-id")
                        + "\r\nUpstream-Signature: proof\r\nContent-Type: text/event-stream\r\n"
                        + (framed ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n")
                        + "\r\n";
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static int firstEvent(ReceivedRequest request) {
        String lastEventId = request.header("last-event-id");
        return lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: piece-" + number + "\n\n";
    }

    private static void write(OutputStream out, String text, boolean framed) throws IOException {
        String bytes = framed ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text;
        out.write(bytes.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Ends the process for a cause outside of all requests. */
    void kill() throws IOException {
        life.end(null);
    }

    /** Returns the requests that the engine received, oldest first. */
    List<Arrival> arrivals() {
        return arrivals;
    }

    /** Returns the ends of processes, oldest first. */
    List<End> ends() {
        return ends;
    }

    /** Returns the IDs of the sound requests whose first event it began to write. */
    Set<String> begun() {
        return begun;
    }

    @Override
    public void close() throws IOException {
        restarts.shutdownNow();
        life.listener.close();
        for (Socket socket : life.sockets) {
            socket.close();
        }
        threads.shutdownNow();
    }
}
