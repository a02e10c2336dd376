package io.pollenpath.coordination.serving;

import java.util.concurrent.TimeUnit;

/**
 * Limits the repeated sends of one entry to one service, so that all entries together keep within a
 * ratio of the requests plus a fixed allowance in every window.
 *
 * <p>Requests are independent between entries, so the ratio needs no exchange; the allowance is
 * divided equally among the entries. Counts are kept in slices of a tenth of the window. A slice
 * that the window covers in part counts whole for repeats, and not at all for requests.
 */
public final class SharedRetryBudget {

    private static final int SLICES = 10;

    private final double ratio;
    private final double allowance;
    private final long sliceNanos;
    private final int[] requests = new int[SLICES + 1];
    private final int[] repeats = new int[SLICES + 1];
    private long currentSlice = Long.MIN_VALUE;

    /**
     * Creates a budget with empty windows.
     *
     * @param ratio the repeats allowed for each request, not negative
     * @param allowance the repeats allowed beyond that in a window, for all entries, not negative
     * @param windowMs the length of the window, in milliseconds, above 0
     */
    public SharedRetryBudget(double ratio, double allowance, long windowMs) {
        if (ratio < 0 || allowance < 0 || windowMs <= 0) {
            throw new IllegalArgumentException(
                    "set ratio and allowance 0 or more, windowMs above 0");
        }
        this.ratio = ratio;
        this.allowance = allowance;
        sliceNanos = TimeUnit.MILLISECONDS.toNanos(windowMs) / SLICES;
    }

    /**
     * Counts the first send of a request.
     *
     * @param nowNanos the present time
     */
    public void onRequest(long nowNanos) {
        advance(nowNanos);
        requests[index(currentSlice)]++;
    }

    /**
     * Takes one repeat if the budget allows it.
     *
     * @param liveEntries the entries that share the allowance, at least 1
     * @param nowNanos the present time
     * @return true if the request may be sent again
     */
    public boolean tryRetry(int liveEntries, long nowNanos) {
        advance(nowNanos);
        double allowed = ratio * requestsInWindow() + allowance / Math.max(1, liveEntries);
        if (sum(repeats) + 1 > allowed) {
            return false;
        }
        repeats[index(currentSlice)]++;
        return true;
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (currentSlice == Long.MIN_VALUE) {
            currentSlice = slice;
        }
        long steps = Math.min(slice - currentSlice, requests.length);
        for (long step = 1; step <= steps; step++) {
            int index = index(slice - steps + step);
            requests[index] = 0;
            repeats[index] = 0;
        }
        currentSlice = Math.max(currentSlice, slice);
    }

    private int index(long slice) {
        return (int) Math.floorMod(slice, (long) requests.length);
    }

    private int requestsInWindow() {
        return sum(requests) - requests[index(currentSlice + 1)];
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
