package io.pollenpath.coordination;

import java.util.concurrent.TimeUnit;

/** The time of the last confirmation of the held configuration by the store. */
final class StoreConfirmation {

    private final long startNanos;
    private boolean confirmed;
    private long lastConfirmedNanos;

    StoreConfirmation(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Records a confirmation of the given age; {@link ConfigMessage#NEVER_MS} changes nothing. */
    void confirm(long ageMs, long nowNanos) {
        if (ageMs == ConfigMessage.NEVER_MS) {
            return;
        }
        long confirmedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMs);
        if (!confirmed || confirmedNanos - lastConfirmedNanos > 0) {
            confirmed = true;
            lastConfirmedNanos = confirmedNanos;
        }
    }

    /**
     * Returns the age of the last confirmation, {@link ConfigMessage#NEVER_MS} if there is none.
     */
    long ageMs(long nowNanos) {
        return confirmed
                ? TimeUnit.NANOSECONDS.toMillis(nowNanos - lastConfirmedNanos)
                : ConfigMessage.NEVER_MS;
    }

    /** Returns whether the store has confirmed the configuration since the process started. */
    boolean isSinceStart() {
        return confirmed && lastConfirmedNanos - startNanos >= 0;
    }
}
