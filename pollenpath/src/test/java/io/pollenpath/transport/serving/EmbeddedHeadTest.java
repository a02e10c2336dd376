package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EmbeddedHeadTest {

    private static final String HEAD = "HTTP/1.1 500 Status\r\nRequest-Id: a\r\n\r\n";

    /** Half a second for each body. */
    private static final long MAX_ELAPSED_MS = 1_500;

    private static boolean isIn(String body) {
        return EmbeddedHead.find(body.getBytes(StandardCharsets.UTF_8), id -> false).whole();
    }

    @Test
    void findsAHeadAnywhere() {
        assertThat(isIn(HEAD)).isTrue();
        assertThat(isIn("done" + HEAD + "oops")).isTrue();
        assertThat(isIn("HTTP/1.1 and " + HEAD)).isTrue();
        assertThat(isIn("HTTP/1.0 200\r\nA: b\r\n\r\n")).isTrue();
    }

    @Test
    void findsNoHeadInTextThatNamesOne() {
        assertThat(isIn("")).isFalse();
        assertThat(isIn("HTTP/1.1 500 Status")).isFalse();
        assertThat(isIn("HTTP/1.1 500 Status\r\n\r\n")).isFalse();
        assertThat(isIn("HTTP/1.1 500 Status\r\n\r\nA: b\r\n\r\n")).isFalse();
        assertThat(isIn("HTTP/1.1 500 Status\r\nno field\r\n\r\n")).isFalse();
        assertThat(isIn("HTTP/1.1 means a version\r\nA: b\r\n\r\n")).isFalse();
        assertThat(isIn("HTTP/1.1 500 Status\r\nRequest-Id: a\r\n")).isFalse();
    }

    /** Guards against work that grows with the square of the bytes. */
    @Test
    void looksThroughALargeBodyOfStatusesAtOnce() {
        long startNanos = System.nanoTime();
        assertThat(isIn("HTTP/1.1 200 ".repeat(600_000))).isFalse();
        assertThat(isIn("HTTP/1.1 200 x\r\n".repeat(500_000))).isFalse();
        assertThat(isIn("HTTP/1.1 200 x\r\na: HTTP/1.".repeat(300_000))).isFalse();
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(elapsedMs).isLessThan(MAX_ELAPSED_MS);
    }
}
