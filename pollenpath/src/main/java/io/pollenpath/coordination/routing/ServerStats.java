package io.pollenpath.coordination.routing;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Keeps what one entry knows of one backend server: its own open requests, the prefixes that the
 * server is likely to cache, and how fast it answers. Writers take the lock; readers see the fields
 * one by one, which a routing estimate tolerates.
 */
public final class ServerStats {

    private static final double ANSWER_WEIGHT = 0.2;
    private static final long PREFIX_LIFE_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String name;
    private final String zone;
    private final PrefixTable prefixes = new PrefixTable();
    private volatile int open;
    private volatile long openTokens;
    private volatile double firstTokenNanos;
    private volatile long lastProgressNanos;
    private volatile long lastSentNanos;

    /**
     * Creates the knowledge of a server that nothing has been sent to.
     *
     * @param name the server, not null
     * @param zone its availability zone, not null
     */
    public ServerStats(String name, String zone) {
        this.name = Objects.requireNonNull(name, "name");
        this.zone = Objects.requireNonNull(zone, "zone");
    }

    /**
     * Returns the server.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the availability zone of the server.
     *
     * @return the zone
     */
    public String zone() {
        return zone;
    }

    /**
     * Notes that an attempt was sent.
     *
     * @param request the request, not null
     * @param nowNanos the present time, in nanoseconds
     */
    public synchronized void onSent(RouteRequest request, long nowNanos) {
        if (open == 0) {
            lastProgressNanos = nowNanos;
        }
        lastSentNanos = nowNanos;
        open = open + 1;
        openTokens = openTokens + request.costTokens();
        prefixes.note(request.prefixHash(), nowNanos);
    }

    /**
     * Notes that the answer of an attempt began.
     *
     * @param tookNanos the time since it was sent, in nanoseconds
     * @param nowNanos the present time, in nanoseconds
     */
    public synchronized void onFirstToken(long tookNanos, long nowNanos) {
        lastProgressNanos = nowNanos;
        firstTokenNanos =
                firstTokenNanos == 0
                        ? tookNanos
                        : firstTokenNanos + ANSWER_WEIGHT * (tookNanos - firstTokenNanos);
    }

    /**
     * Notes that an attempt ended in any way.
     *
     * @param request the request, not null
     * @param nowNanos the present time, in nanoseconds
     */
    public synchronized void onEnded(RouteRequest request, long nowNanos) {
        lastProgressNanos = nowNanos;
        open = Math.max(0, open - 1);
        openTokens = Math.max(0, openTokens - request.costTokens());
    }

    /**
     * Notes that the server said that it holds a prefix.
     *
     * @param prefix the hash of the prefix
     * @param nowNanos the present time, in nanoseconds
     */
    public synchronized void onCached(long prefix, long nowNanos) {
        prefixes.note(prefix, nowNanos);
    }

    /**
     * Counts the open requests of this entry.
     *
     * @return the number of requests
     */
    public int open() {
        return open;
    }

    /**
     * Returns the work of this entry that is open at the server.
     *
     * @return the work, in tokens
     */
    public long openTokens() {
        return openTokens;
    }

    /**
     * Tells whether the server is likely to hold a prefix.
     *
     * @param prefix the hash of the prefix, 0 for none
     * @param nowNanos the present time, in nanoseconds
     * @return true if it was sent or reported there of late
     */
    public boolean holds(long prefix, long nowNanos) {
        return prefixes.holds(prefix, nowNanos, PREFIX_LIFE_NANOS);
    }

    /**
     * Returns the moving average of the time to the first token.
     *
     * @return nanoseconds, 0 before the first answer
     */
    public double firstTokenNanos() {
        return firstTokenNanos;
    }

    /**
     * Tells whether the server has open requests and has shown no progress for long, and was not
     * probed a moment ago. A probe is a request that is sent in spite of the stall.
     *
     * @param nowNanos the present time, in nanoseconds
     * @return true if it should get no request now
     */
    public boolean isStalled(long nowNanos) {
        boolean silent = open > 0 && nowNanos - lastProgressNanos > STALL_NANOS;
        return silent && nowNanos - lastSentNanos < STALL_NANOS;
    }
}
