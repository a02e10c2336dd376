package io.pollenpath.coordination.routing;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * What one entry knows of one backend server: its own open requests there, the prefixes that the
 * server has probably cached, and how fast it answers. Writers take the lock. Readers take none and
 * may see values of different updates, which is good enough for a routing estimate.
 */
public final class ServerStats {

    private static final double FIRST_TOKEN_WEIGHT = 0.2;
    private static final long PREFIX_TTL_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String name;
    private final String zone;
    private final PrefixTable prefixes = new PrefixTable();
    private volatile int openRequests;
    private volatile long openTokens;
    private volatile double firstTokenNanos;
    private volatile long lastProgressNanos;
    private volatile long lastSentNanos;

    /**
     * Creates the state of a server that has received no request.
     *
     * @param name the server, not null
     * @param zone its availability zone, not null
     */
    public ServerStats(String name, String zone) {
        this.name = Objects.requireNonNull(name, "name");
        this.zone = Objects.requireNonNull(zone, "zone");
    }

    /**
     * Returns the name of the server.
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
     * Records that an attempt was sent.
     *
     * @param request the request, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public synchronized void onSent(RouteRequest request, long nowNanos) {
        if (openRequests == 0) {
            lastProgressNanos = nowNanos;
        }
        lastSentNanos = nowNanos;
        openRequests = openRequests + 1;
        openTokens = openTokens + request.costTokens();
        prefixes.record(request.prefixHash(), nowNanos);
    }

    /**
     * Records that the answer to an attempt began.
     *
     * @param elapsedNanos the time since it was sent, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     */
    public synchronized void onFirstToken(long elapsedNanos, long nowNanos) {
        lastProgressNanos = nowNanos;
        firstTokenNanos =
                firstTokenNanos == 0
                        ? elapsedNanos
                        : firstTokenNanos + FIRST_TOKEN_WEIGHT * (elapsedNanos - firstTokenNanos);
    }

    /**
     * Records that an attempt ended, with or without an answer.
     *
     * @param request the request, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public synchronized void onEnded(RouteRequest request, long nowNanos) {
        lastProgressNanos = nowNanos;
        openRequests = Math.max(0, openRequests - 1);
        openTokens = Math.max(0, openTokens - request.costTokens());
    }

    /**
     * Records that the server reported a prefix as cached.
     *
     * @param prefix the hash of the prefix, 0 for none
     * @param nowNanos the current time, in nanoseconds
     */
    public synchronized void onCached(long prefix, long nowNanos) {
        prefixes.record(prefix, nowNanos);
    }

    /**
     * Returns the number of open requests of this entry at the server.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Returns the estimated work of this entry's open requests at the server.
     *
     * @return the work, in tokens
     */
    public long openTokens() {
        return openTokens;
    }

    /**
     * Returns whether the server has probably cached a prefix.
     *
     * @param prefix the hash of the prefix, 0 for none
     * @param nowNanos the current time, in nanoseconds
     * @return true if the prefix was sent to the server or reported by it in the last 6 seconds
     */
    public boolean hasCachedPrefix(long prefix, long nowNanos) {
        return prefixes.contains(prefix, nowNanos, PREFIX_TTL_NANOS);
    }

    /**
     * Returns the moving average of the time to the first token.
     *
     * @return the time, in nanoseconds; 0 before the first answer
     */
    public double firstTokenNanos() {
        return firstTokenNanos;
    }

    /**
     * Returns whether the server is stalled and no probe is due. A server is stalled if it has open
     * requests and has made no progress for more than a second. A probe is a request that is sent
     * to it anyway, one second after the last request.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if it should receive no request now
     */
    public boolean isStalled(long nowNanos) {
        boolean stalled = openRequests > 0 && nowNanos - lastProgressNanos > STALL_NANOS;
        return stalled && nowNanos - lastSentNanos < STALL_NANOS;
    }
}
