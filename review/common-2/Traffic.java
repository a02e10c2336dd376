package io.pollenpath.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/** Clients that send requests to one entry, each over a kept connection, until they are stopped. */
public final class Traffic implements AutoCloseable {

    private final int entryPort;
    private final String path;
    private final int deadlineMs;
    private final BiConsumer<String, Caller.Answer> check;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong nextId = new AtomicLong();
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /**
     * A request and its end.
     *
     * @param sentNanos the time at which it was sent, in nanoseconds
     * @param endedNanos the time of its answer or of the end of its connection, in nanoseconds
     * @param status the status of its answer; 0 if the connection ended without one
     */
    public record Sent(long sentNanos, long endedNanos, int status) {

        /** Returns the time from sending it to its end, in milliseconds. */
        public long lastedMs() {
            return TimeUnit.NANOSECONDS.toMillis(endedNanos - sentNanos);
        }
    }

    /** Starts the clients; each waits for an answer for its time limit. */
    public Traffic(int entryPort, String path, int clients, int deadlineMs) {
        this(entryPort, path, clients, deadlineMs, (requestId, answer) -> {});
    }

    /** Starts the clients; each waits for an answer for its time limit and checks it. */
    public Traffic(
            int entryPort,
            String path,
            int clients,
            int deadlineMs,
            BiConsumer<String, Caller.Answer> check) {
        this.check = check;
        this.entryPort = entryPort;
        this.path = path;
        this.deadlineMs = deadlineMs;
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(this::sendAll, "client-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    /** Returns the requests that have ended, by their IDs. */
    public Map<String, Sent> sent() {
        return Map.copyOf(sent);
    }

    private void sendAll() {
        while (!stopped) {
            try (Caller caller = new Caller(entryPort)) {
                while (!stopped && send(caller)) {
                    Thread.yield();
                }
            } catch (IOException e) {
                // The next request is sent over a new connection.
            }
        }
    }

    /** Sends a request; returns whether the connection serves another one. */
    private boolean send(Caller caller) throws IOException {
        String requestId = "request-" + nextId.incrementAndGet();
        long sentNanos = System.nanoTime();
        try {
            Caller.Answer answer = caller.post(requestId, path + requestId, deadlineMs);
            check.accept(requestId, answer);
            sent.put(requestId, new Sent(sentNanos, System.nanoTime(), answer.status()));
            return !answer.closes();
        } catch (IOException e) {
            sent.put(requestId, new Sent(sentNanos, System.nanoTime(), 0));
            throw e;
        }
    }

    /** Stops the clients and waits for the ends of their last requests. */
    public void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(2L * deadlineMs);
        }
    }

    @Override
    public void close() {
        stopped = true;
    }
}
