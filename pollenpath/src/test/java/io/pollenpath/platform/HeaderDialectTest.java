package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.transport.serving.CallerHeaders;
import org.junit.jupiter.api.Test;

/** Tests how the headers of callers are read. */
class HeaderDialectTest {

    private final HeaderDialect dialect = new HeaderDialect();

    private CallerHeaders read(String prompt) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.add("Prompt-Prefix", prompt);
        return dialect.readCallerHeaders(headers);
    }

    @Test
    void readsPartsOfPromptInOrder() {
        CallerHeaders headers = read("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
        assertThat(headers.promptParts())
                .containsExactly("5c1e07a2", "91bd3f06", "e4402b7d")
                .inOrder();
        assertThat(headers.sharedPromptParts()).containsExactly("5c1e07a2", "91bd3f06").inOrder();
    }

    @Test
    void readsEntriesWithoutTokensAndSkipsEmptyOnes() {
        assertThat(read(",a,:7,b:x:y,").promptParts()).containsExactly("a", "b").inOrder();
    }

    @Test
    void findsNoSharedPartsInPromptsOfOnePartOrNone() {
        assertThat(read("a:1").sharedPromptParts()).isEmpty();
        assertThat(dialect.readCallerHeaders(new DefaultHttpHeaders()).sharedPromptParts())
                .isEmpty();
    }
}
