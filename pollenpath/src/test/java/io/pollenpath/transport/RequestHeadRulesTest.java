package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

class RequestHeadRulesTest {

    private static final int NONE = 0;

    private static HttpRequest request(HttpVersion version) {
        HttpRequest request = new DefaultHttpRequest(version, HttpMethod.POST, "/");
        request.headers().add(HttpHeaderNames.HOST, "a");
        return request;
    }

    /** Returns the status of the answer to a request; {@link #NONE} if it is sound. */
    private static int statusOf(HttpRequest request) {
        return RequestHeadRules.flawOf(request).map(FlawedRequestException::status).orElse(NONE);
    }

    private static int statusOfCoding(HttpVersion version, String... codings) {
        HttpRequest request = request(version);
        for (String coding : codings) {
            request.headers().add(HttpHeaderNames.TRANSFER_ENCODING, coding);
        }
        return statusOf(request);
    }

    @Test
    void speaksTwoVersions() {
        assertThat(statusOf(request(HttpVersion.HTTP_1_1))).isEqualTo(NONE);
        assertThat(statusOf(request(HttpVersion.HTTP_1_0))).isEqualTo(NONE);
        assertThat(statusOf(request(HttpVersion.valueOf("HTTP/2.0")))).isEqualTo(505);
        assertThat(statusOf(request(HttpVersion.valueOf("HTTP/1.2")))).isEqualTo(505);
    }

    @Test
    void knowsChunksAndNoOtherCoding() {
        assertThat(statusOfCoding(HttpVersion.HTTP_1_1, "chunked")).isEqualTo(NONE);
        assertThat(statusOfCoding(HttpVersion.HTTP_1_1, "CHUNKED")).isEqualTo(NONE);
        assertThat(statusOfCoding(HttpVersion.HTTP_1_1, "xchunked")).isEqualTo(501);
        assertThat(statusOfCoding(HttpVersion.HTTP_1_1, "gzip, chunked")).isEqualTo(501);
        assertThat(statusOfCoding(HttpVersion.HTTP_1_1, "chunked", "chunked")).isEqualTo(501);
        assertThat(statusOfCoding(HttpVersion.HTTP_1_1, "")).isEqualTo(501);
        assertThat(statusOfCoding(HttpVersion.HTTP_1_0, "chunked")).isEqualTo(400);
    }

    @Test
    void refusesALengthBesideChunks() {
        HttpRequest request = request(HttpVersion.HTTP_1_1);
        request.headers().add(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
        request.headers().add(HttpHeaderNames.CONTENT_LENGTH, 3);
        assertThat(statusOf(request)).isEqualTo(400);
    }

    @Test
    void refusesASecondHost() {
        HttpRequest request = request(HttpVersion.HTTP_1_1);
        request.headers().add(HttpHeaderNames.HOST, "a");
        assertThat(statusOf(request)).isEqualTo(400);
    }
}
