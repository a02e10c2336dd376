package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.transport.HttpAddress;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** A caller that sends one sound request after the other, each on a connection of its own. */
final class OtherCaller {

    /** What an answer at a timeout may take. */
    private static final long MAX_WAIT_MS = 500;

    private static final long PAUSE_MS = 10;

    private OtherCaller() {}

    /** Checks that each request is served in time. */
    static void check(HttpAddress entry, long observedMs) throws IOException {
        long startNanos = System.nanoTime();
        long longestMs = 0;
        while (elapsedMs(startNanos) < observedMs) {
            longestMs = Math.max(longestMs, call(entry));
        }
        assertWithMessage("longest wait of others, in ms").that(longestMs).isAtMost(MAX_WAIT_MS);
    }

    /** Returns the time to an answer, in milliseconds. */
    private static long call(HttpAddress entry) throws IOException {
        long sentNanos = System.nanoTime();
        try (RawCaller caller = new RawCaller(entry)) {
            caller.send(RawCaller.request("other", "/plain/other", "{}"));
            assertThat(caller.read().status()).isEqualTo(200);
        }
        Pause.forMs(PAUSE_MS);
        return elapsedMs(sentNanos);
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
