package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnswerBeginTest {

    private static boolean isSound(String text) {
        return AnswerBegin.isSound(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Guards against a second answer that is taken for bytes of no answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "H",
                "HTTP/1.1 2",
                "HTTP/1.0 404 Not Found",
                "HTTP/1.1 200 OK\r\nA: b\r\n\r\n\0 anything",
                "HTTP/1.1 100 Continue\n\nHTTP/2.0"
            })
    void theBeginOfAnAnswerIsSound(String text) {
        assertThat(isSound(text)).isTrue();
    }

    /** Guards against bytes of no answer that are taken for a second one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                "oops",
                "HTTP/2.0 200 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 +200",
                "HTTP/1.1 200 OK\r\nA B: c"
            })
    void otherBytesAreNot(String text) {
        assertThat(isSound(text)).isFalse();
    }
}
