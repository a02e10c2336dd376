package io.pollenpath.state.serving;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests which requests share a fingerprint. */
class RequestFingerprintTest {

    private static final byte[] BODY = {1, 2};
    private static final RequestFingerprint FINGERPRINT =
            RequestFingerprint.of("clerks", "POST", "a.example", "/x?q=1", BODY);

    @Test
    void isTheSameForEveryAttemptOfOneRequest() {
        assertThat(RequestFingerprint.of("clerks", "POST", "a.example", "/x?q=1", BODY.clone()))
                .isEqualTo(FINGERPRINT);
    }

    @Test
    void differsByAccountMethodHostPathAndBody() {
        assertThat(RequestFingerprint.of("union", "POST", "a.example", "/x?q=1", BODY))
                .isNotEqualTo(FINGERPRINT);
        assertThat(RequestFingerprint.of("clerks", "GET", "a.example", "/x?q=1", BODY))
                .isNotEqualTo(FINGERPRINT);
        assertThat(RequestFingerprint.of("clerks", "POST", "b.example", "/x?q=1", BODY))
                .isNotEqualTo(FINGERPRINT);
        assertThat(RequestFingerprint.of("clerks", "POST", "a.example", "/x?q=2", BODY))
                .isNotEqualTo(FINGERPRINT);
        assertThat(RequestFingerprint.of("clerks", "POST", "a.example", "/x?q=1", new byte[] {1}))
                .isNotEqualTo(FINGERPRINT);
    }

    @Test
    void survivesEncoding() {
        assertThat(RequestFingerprint.decode(FINGERPRINT.encode())).isEqualTo(FINGERPRINT);
        assertThrows(IllegalArgumentException.class, () -> RequestFingerprint.decode(new byte[15]));
    }
}
