package io.pollenpath.util;

/** Lets the calling thread wait. */
public final class Pause {

    private Pause() {}

    /**
     * Waits for a time. An interrupt ends the wait and stays noted.
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
