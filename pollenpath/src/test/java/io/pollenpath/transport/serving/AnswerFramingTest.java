package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

class AnswerFramingTest {

    private static HttpHeaders coded(String coding) {
        return new DefaultHttpHeaders().set("Transfer-Encoding", coding);
    }

    /**
     * Guards against an answer whose end is taken for that of its last chunk, though it has none.
     */
    @Test
    void onlyChunksHaveALastChunk() {
        assertThat(AnswerFraming.of(coded("identity"))).isEqualTo(AnswerFraming.CLOSE);
        assertThat(AnswerFraming.of(coded("identity").set("Content-Length", 4)))
                .isEqualTo(AnswerFraming.LENGTH);
        assertThat(AnswerFraming.of(coded("Chunked"))).isEqualTo(AnswerFraming.CHUNKS);
        assertThat(AnswerFraming.of(coded("gzip, chunked"))).isEqualTo(AnswerFraming.CHUNKS);
    }
}
