package io.pollenpath.util;

/** Suspends the calling thread. */
public final class Pause {

    private Pause() {}

    /**
     * Sleeps for a time. An interrupt ends the sleep early and leaves the interrupt status set.
     *
     * @param ms the time, in milliseconds, not negative
     */
    public static void forMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
