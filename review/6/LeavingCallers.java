package io.pollenpath.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send a request, leave before its answer comes, and send the next one. */
final class LeavingCallers implements AutoCloseable {

    private static final int DEADLINE_MS = 8_000;

    private final int entryPort;
    private final String path;
    private final int leaveAfterMs;
    private final Record record;
    private final AtomicInteger sent = new AtomicInteger();
    private volatile boolean stopped;

    LeavingCallers(int entryPort, String path, int clients, int leaveAfterMs, Record record) {
        this.entryPort = entryPort;
        this.path = path;
        this.leaveAfterMs = leaveAfterMs;
        this.record = record;
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(this::sendAll, "leaving-client");
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Returns the number of requests that were sent. */
    int sent() {
        return sent.get();
    }

    private void sendAll() {
        while (!stopped) {
            String requestId = "left-" + sent.incrementAndGet() + "-of-" + System.nanoTime();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), entryPort)) {
                String request =
                        "POST " + path + requestId + " HTTP/1.1\r\nHost: " + Manifests.HOST
                                + "\r\nRequest-Id: " + requestId
                                + "\r\nDeadline-Ms: " + DEADLINE_MS
                                + "\r\nAuthorization: Bearer " + Manifests.API_KEY
                                + "\r\nContent-Length: 0\r\n\r\n";
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                record.line(requestId + " is sent");
                Thread.sleep(leaveAfterMs);
                record.line(requestId + " is left");
            } catch (IOException e) {
                record.line(requestId + " ended: " + e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends no more requests. */
    void stop() {
        stopped = true;
    }

    @Override
    public void close() {
        stop();
    }
}
