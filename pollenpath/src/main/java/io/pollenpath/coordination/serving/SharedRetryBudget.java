package io.pollenpath.coordination.serving;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of one entry to one service, so that the retries of all entries together stay
 * within a ratio of the requests plus a fixed allowance in every sliding window.
 *
 * <p>Each entry applies the ratio to its own requests, which needs no communication, and gets an
 * equal part of the allowance. Counts are kept in slices of a tenth of the window. A slice that the
 * window covers only partly counts in full for retries and not at all for requests, which errs
 * towards fewer retries.
 *
 * <p>A retry is reserved when it is decided and counts in the window in which it is sent: it may
 * wait for a server in between, and windows of sends then hold more than windows of decisions.
 *
 * <p>An entry that has left may have used its part in the same window, so the parts are those of
 * the largest number of entries in the window. A process that has just started allows no retry for
 * one window: an earlier process in its place may have used the allowance, and may have sent its
 * retries at the end of a window whose requests come first.
 */
public final class SharedRetryBudget {

    private static final int SLICES = 10;

    private final double ratio;
    private final double allowance;
    private final long sliceNanos;
    private final int[] requests = new int[SLICES + 1];
    private final int[] retries = new int[SLICES + 1];
    private final int[] mostEntries = new int[SLICES + 1];
    private final long allowedFromNanos;
    private long currentSlice = Long.MIN_VALUE;
    private int reserved;

    /**
     * Creates a budget with empty windows.
     *
     * @param startNanos the time at which the process started, in nanoseconds
     * @param ratio the retries allowed per request, not negative
     * @param allowance the additional retries allowed per window, for all entries together, not
     *     negative
     * @param windowMs the length of the window, in milliseconds, above 0
     * @throws IllegalArgumentException if a value is out of its range
     */
    public SharedRetryBudget(long startNanos, double ratio, double allowance, long windowMs) {
        if (ratio < 0 || allowance < 0 || windowMs <= 0) {
            throw new IllegalArgumentException(
                    "ratio and allowance must be at least 0, windowMs above 0");
        }
        this.ratio = ratio;
        this.allowance = allowance;
        sliceNanos = TimeUnit.MILLISECONDS.toNanos(windowMs) / SLICES;
        allowedFromNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(windowMs);
    }

    /**
     * Records the number of entries that share the allowance.
     *
     * @param liveEntries the live entries; less than 1 counts as 1
     * @param nowNanos the current time, in nanoseconds
     */
    public void onEntries(int liveEntries, long nowNanos) {
        advance(nowNanos);
        int index = index(currentSlice);
        mostEntries[index] = Math.max(mostEntries[index], Math.max(1, liveEntries));
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onRequest(long nowNanos) {
        advance(nowNanos);
        requests[index(currentSlice)]++;
    }

    /**
     * Reserves one retry if the budget allows it beside those reserved before.
     *
     * @param liveEntries the live entries that share the allowance; less than 1 counts as 1
     * @param nowNanos the current time, in nanoseconds
     * @return true if the request may wait for its retry; then either {@link #trySend} must succeed
     *     or {@link #release} be called
     */
    public boolean tryReserve(int liveEntries, long nowNanos) {
        if (!isAllowed(liveEntries, nowNanos)) {
            return false;
        }
        reserved++;
        return true;
    }

    /**
     * Returns whether one more retry could be reserved now.
     *
     * @param liveEntries the live entries that share the allowance; less than 1 counts as 1
     * @param nowNanos the current time, in nanoseconds
     * @return true if {@link #tryReserve} would succeed
     */
    public boolean isAllowed(int liveEntries, long nowNanos) {
        return allows(reserved + 1, liveEntries, nowNanos);
    }

    /**
     * Counts a reserved retry that is sent now, if the budget still allows it.
     *
     * @param liveEntries the live entries that share the allowance; less than 1 counts as 1
     * @param nowNanos the current time, in nanoseconds
     * @return true if the retry may be sent; otherwise it stays reserved
     */
    public boolean trySend(int liveEntries, long nowNanos) {
        if (!allows(1, liveEntries, nowNanos)) {
            return false;
        }
        release();
        retries[index(currentSlice)]++;
        return true;
    }

    /** Gives back a reserved retry that was not sent. */
    public void release() {
        if (reserved == 0) {
            throw new IllegalStateException("no retry is reserved; reserve one first");
        }
        reserved--;
    }

    private boolean allows(int more, int liveEntries, long nowNanos) {
        onEntries(liveEntries, nowNanos);
        if (nowNanos - allowedFromNanos < 0) {
            return false;
        }
        double ownAllowance = allowance / Arrays.stream(mostEntries).max().getAsInt();
        double allowed = ratio * requestsInWindow() + ownAllowance;
        return sum(retries) + more <= allowed;
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (currentSlice == Long.MIN_VALUE) {
            currentSlice = slice;
        }
        long newSlices = Math.min(slice - currentSlice, requests.length);
        for (long offset = 1; offset <= newSlices; offset++) {
            int index = index(slice - newSlices + offset);
            requests[index] = 0;
            retries[index] = 0;
            mostEntries[index] = 0;
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
