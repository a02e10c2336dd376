package io.pollenpath.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * How slow servers are, as the agents beside them say. The events of streams do not tell this: all
 * servers of a rank group make their passes together, so a slow one delays the streams of all.
 */
public final class ServerSlowdowns {

    /** Time for which a report counts; agents repeat it more often while a server is slow. */
    static final long MAX_AGE_MS = 3_000;

    private static final double USUAL = 1;

    private final Map<String, Known> byAddress = new HashMap<>();

    private record Known(double factor, long nanos) {

        private boolean isCurrent(long nowNanos) {
            return nowNanos - nanos < TimeUnit.MILLISECONDS.toNanos(MAX_AGE_MS);
        }
    }

    /**
     * Records the report of the agent beside a server.
     *
     * @param report the report, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onReport(SlowdownReport report, long nowNanos) {
        byAddress.values().removeIf(known -> !known.isCurrent(nowNanos));
        byAddress.put(report.address(), new Known(report.factor(), nowNanos));
    }

    /**
     * Returns how many times longer a server takes for its work than usual.
     *
     * @param address the address of the server, IP:port, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the factor, at least 1; 1 without a current report
     */
    public double factor(String address, long nowNanos) {
        Known known = byAddress.get(address);
        return known != null && known.isCurrent(nowNanos) ? Math.max(USUAL, known.factor()) : USUAL;
    }
}
