package io.pollenpath.state.serving;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.state.serving.CrashSuspect.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what identifies that which may crash servers. */
class CrashSuspectTest {

    private static final byte[] BODY = {1, 2};
    private static final List<String> PROMPT = List.of("shared", "own");
    private static final CrashSuspect REQUEST =
            CrashSuspect.ofRequest("clerks", "POST", "a.example", "/x?q=1", PROMPT, BODY);

    @Test
    void isTheSameForEveryAttemptOfOneRequest() {
        assertThat(
                        CrashSuspect.ofRequest(
                                "clerks", "POST", "a.example", "/x?q=1", PROMPT, BODY.clone()))
                .isEqualTo(REQUEST);
    }

    @Test
    void differsByAccountMethodHostPathPromptAndBody() {
        List<String> otherPrompt = List.of("shared", "other");
        assertThat(
                        CrashSuspect.ofRequest(
                                "clerks", "POST", "a.example", "/x?q=1", otherPrompt, BODY))
                .isNotEqualTo(REQUEST);
        assertThat(CrashSuspect.ofRequest("union", "POST", "a.example", "/x?q=1", PROMPT, BODY))
                .isNotEqualTo(REQUEST);
        assertThat(CrashSuspect.ofRequest("clerks", "GET", "a.example", "/x?q=1", PROMPT, BODY))
                .isNotEqualTo(REQUEST);
        assertThat(CrashSuspect.ofRequest("clerks", "POST", "b.example", "/x?q=1", PROMPT, BODY))
                .isNotEqualTo(REQUEST);
        assertThat(CrashSuspect.ofRequest("clerks", "POST", "a.example", "/x?q=2", PROMPT, BODY))
                .isNotEqualTo(REQUEST);
        assertThat(
                        CrashSuspect.ofRequest(
                                "clerks", "POST", "a.example", "/x?q=1", PROMPT, new byte[] {1}))
                .isNotEqualTo(REQUEST);
    }

    @Test
    void tellsRequestsFromWhatTheyShare() {
        assertThat(REQUEST.isShared()).isFalse();
        assertThat(CrashSuspect.ofPromptPart("shared").isShared()).isTrue();
        CrashSuspect anyPrompt =
                CrashSuspect.ofAnyPrompt("clerks", "POST", "a.example", "/x?q=1", BODY);
        assertThat(anyPrompt.isShared()).isTrue();
        assertThat(anyPrompt.kind()).isEqualTo(Kind.ANY_PROMPT);
        assertThat(REQUEST.kind()).isEqualTo(Kind.REQUEST);
        assertThat(CrashSuspect.ofPromptPart("shared").kind()).isEqualTo(Kind.PROMPT_PART);
        assertThat(CrashSuspect.ofPath("POST", "a.example", "/x").kind()).isEqualTo(Kind.PATH);
        assertThat(CrashSuspect.ofPromptPart("shared"))
                .isNotEqualTo(CrashSuspect.ofPromptPart("other"));
        assertThat(CrashSuspect.decode(anyPrompt.encode())).isEqualTo(anyPrompt);
    }

    @Test
    void contentIsTheSameWhicheverAccountSendsIt() {
        CrashSuspect content = CrashSuspect.ofContent("POST", "a.example", "/x?q=1", PROMPT, BODY);
        assertThat(content.kind()).isEqualTo(Kind.CONTENT);
        assertThat(content.isShared()).isFalse();
        assertThat(CrashSuspect.ofContent("POST", "a.example", "/x?q=2", PROMPT, BODY))
                .isNotEqualTo(content);
    }

    @Test
    void survivesEncoding() {
        assertThat(CrashSuspect.decode(REQUEST.encode())).isEqualTo(REQUEST);
        assertThrows(IllegalArgumentException.class, () -> CrashSuspect.decode(new byte[15]));
    }
}
