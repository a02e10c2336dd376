package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes that a leader has on their way to the agents, so that its network link carries
 * each message within the timeout of a call, however many ranks the group has.
 */
public final class SendWindow {

    /** Bytes of the HTTP headers of one message. */
    static final int HEADER_BYTES = 250;

    /** Time for which the messages in the window may occupy the link, in milliseconds. */
    private static final long WINDOW_MS = 100;

    /** Timeout of a message that finds the link free, in milliseconds. */
    private static final long MIN_TIMEOUT_MS = 200;

    private final double bytesPerMs;
    private long bytesInFlight;

    /**
     * Creates an empty window.
     *
     * @param linkBytesPerSecond the bandwidth of the VM's link, in bytes per second, above 0
     * @throws IllegalArgumentException if the bandwidth is not above 0
     */
    public SendWindow(double linkBytesPerSecond) {
        if (!(linkBytesPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "the bandwidth is " + linkBytesPerSecond + " bytes/s; declare one above 0");
        }
        bytesPerMs = linkBytesPerSecond / TimeUnit.SECONDS.toMillis(1);
    }

    /**
     * Takes room for a message if there is enough, or if no other message is in flight.
     *
     * @param bodyBytes the size of the body of the message, in bytes
     * @return true if the message may be sent now; {@link #release} must follow
     */
    public boolean tryAcquire(int bodyBytes) {
        long bytes = (long) bodyBytes + HEADER_BYTES;
        if (bytesInFlight > 0 && bytesInFlight + bytes > WINDOW_MS * bytesPerMs) {
            return false;
        }
        bytesInFlight += bytes;
        return true;
    }

    /**
     * Returns the room of a message that was answered or given up.
     *
     * @param bodyBytes the size of the body of the message, in bytes
     */
    public void release(int bodyBytes) {
        bytesInFlight -= (long) bodyBytes + HEADER_BYTES;
    }

    /**
     * Returns the timeout of a message that is sent now: the minimum, or twice the time that the
     * link needs for all bytes in flight if that is longer.
     *
     * @return the timeout, in milliseconds
     */
    public long timeoutMs() {
        return Math.max(MIN_TIMEOUT_MS, (long) (2 * bytesInFlight / bytesPerMs));
    }
}
