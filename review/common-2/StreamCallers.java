package io.pollenpath.review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that ask for streams, one after the other at a fixed interval. A client leaves when no
 * event has come for the time that the platform's page names.
 */
public final class StreamCallers implements AutoCloseable {

    private static final int DEADLINE_MS = 8_000;
    private static final long MAX_GAP_NANOS = 2_004_000_000L;
    private static final int READ_TIMEOUT_MS = 100;

    private final int entryPort;
    private final String path;
    private final long intervalMs;
    private final Record record;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private volatile boolean stopped;

    /** Starts the clients. */
    public StreamCallers(int entryPort, String path, long intervalMs, Record record) {
        this.entryPort = entryPort;
        this.path = path;
        this.intervalMs = intervalMs;
        this.record = record;
        start(this::sendAll);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "stream-client");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of streams that were asked for. */
    public int sent() {
        return sent.get();
    }

    /** Returns the number of streams that came complete. */
    public int complete() {
        return complete.get();
    }

    private void sendAll() {
        while (!stopped) {
            int number = sent.incrementAndGet();
            start(() -> call("stream-" + number));
            try {
                Thread.sleep(intervalMs);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void call(String requestId) {
        record.line(requestId + " is sent");
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), entryPort)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            String request =
                    "POST " + path + requestId + " HTTP/1.1\r\nHost: " + Manifests.HOST
                            + "\r\nRequest-Id: " + requestId
                            + "\r\nDeadline-Ms: " + DEADLINE_MS
                            + "\r\nAuthorization: Bearer " + Manifests.API_KEY
                            + "\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            boolean whole = readEvents(socket);
            complete.addAndGet(whole ? 1 : 0);
            record.line(requestId + (whole ? " is complete" : " was left: no event for 2 s"));
        } catch (IOException e) {
            record.line(requestId + " ended: " + e.getMessage());
        }
    }

    /** Reads a stream; returns whether it ended in time, false if its client gives it up. */
    private static boolean readEvents(Socket socket) throws IOException {
        InputStreamReader bytes =
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII);
        BufferedReader in = new BufferedReader(bytes);
        long lastEventNanos = System.nanoTime();
        while (System.nanoTime() - lastEventNanos < MAX_GAP_NANOS) {
            String line = readLine(in);
            if (line != null && line.startsWith("id:")) {
                lastEventNanos = System.nanoTime();
            }
            if (line != null && line.equals("0")) {
                return true;
            }
        }
        return false;
    }

    /** Returns the next line; null if none came within the read timeout. */
    private static String readLine(BufferedReader in) throws IOException {
        try {
            String line = in.readLine();
            if (line == null) {
                throw new IOException("the connection ended");
            }
            return line;
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    /** Sends no more requests. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void close() {
        stop();
    }
}
