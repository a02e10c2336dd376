package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which heads of sound lines must not be used. */
class AnswerHeadRulesTest {

    private static HttpResponse head(String version, int status, String... fields) {
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.valueOf(version), HttpResponseStatus.valueOf(status));
        for (int i = 0; i < fields.length; i += 2) {
            head.headers().add(fields[i], fields[i + 1]);
        }
        return head;
    }

    private static boolean isSound(HttpResponse head) {
        return AnswerHeadRules.flawOf(head).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1, chunked, true",
        "HTTP/1.1, Chunked, true",
        "HTTP/1.0, chunked, false",
        "HTTP/1.1, xchunked, false",
        "HTTP/1.1, gzip, false",
        "HTTP/1.1, 'gzip, chunked', false",
        "HTTP/1.1, 'chunked, chunked', false"
    })
    void justChunksFrameABodyWithoutALength(String version, String coding, boolean sound) {
        HttpResponse head = head(version, 200, "Transfer-Encoding", coding);
        assertThat(isSound(head)).isEqualTo(sound);
        head.headers().add("Content-Length", "5");
        assertThat(isSound(head)).isFalse();
    }

    @Test
    void aLengthOrTheEndOfTheConnectionFramesABody() {
        assertThat(isSound(head("HTTP/1.0", 200, "Content-Length", "5"))).isTrue();
        assertThat(isSound(head("HTTP/1.1", 200))).isTrue();
    }

    @Test
    void anotherProtocolIsFlawed() {
        assertThat(isSound(head("HTTP/1.1", 101, "Upgrade", "other"))).isFalse();
        assertThat(isSound(head("HTTP/1.1", 103, "Link", "a"))).isTrue();
    }

    @Test
    void aHeadWithTheStatusLineOfASecondAnswerIsFlawed() {
        assertThat(isSound(head("HTTP/1.1", 200, "X", "HTTP/1.1 500 Status"))).isFalse();
    }
}
