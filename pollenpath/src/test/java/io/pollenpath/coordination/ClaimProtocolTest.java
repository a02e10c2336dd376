package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.state.RunClaim;
import org.junit.jupiter.api.Test;

class ClaimProtocolTest {

    private static final String DIGEST = "content";

    private static RunClaim claim(String executor, int attempt, boolean released, long version) {
        return new RunClaim("key-1", DIGEST, executor, 7, 100, attempt, 0, released, version);
    }

    private static final RunClaim WANTED = claim("server-a", 1, false, 0);

    @Test
    void newKeyTakesOneWrite() {
        ClaimProtocol protocol = ClaimProtocol.claim(DIGEST, WANTED, null);
        assertThat(protocol.start().type()).isEqualTo(ClaimAction.Type.CREATE);
        RunClaim stored = WANTED.withVersion(5);
        assertThat(protocol.onWritten(stored)).isEqualTo(ClaimAction.granted(stored));
    }

    @Test
    void conflictFollowsTheClaimInForce() {
        ClaimProtocol protocol = ClaimProtocol.claim(DIGEST, WANTED, null);
        protocol.start();
        assertThat(protocol.onWriteFailed(WriteFailure.CONFLICT)).isEqualTo(ClaimAction.read());
        RunClaim other = claim("server-b", 1, false, 3);
        assertThat(protocol.onRead(other)).isEqualTo(ClaimAction.granted(other));
    }

    @Test
    void lostAnswerIsSettledByReading() {
        ClaimProtocol protocol = ClaimProtocol.claim(DIGEST, WANTED, null);
        protocol.start();
        assertThat(protocol.onWriteFailed(WriteFailure.OUTCOME_UNKNOWN))
                .isEqualTo(ClaimAction.read());
        assertThat(protocol.onMissing().type()).isEqualTo(ClaimAction.Type.CREATE);
        protocol.onWriteFailed(WriteFailure.OUTCOME_UNKNOWN);
        assertThat(protocol.onReadFailed().refusal())
                .isEqualTo(ClaimAction.Refusal.STORE_UNAVAILABLE);
    }

    @Test
    void writesAreBounded() {
        ClaimProtocol protocol = ClaimProtocol.claim(DIGEST, WANTED, null);
        ClaimAction step = protocol.start();
        int writes = 0;
        while (step.type() == ClaimAction.Type.CREATE) {
            writes++;
            protocol.onWriteFailed(WriteFailure.OUTCOME_UNKNOWN);
            step = protocol.onMissing();
        }
        assertThat(writes).isLessThan(10);
        assertThat(step.refusal()).isEqualTo(ClaimAction.Refusal.STORE_UNAVAILABLE);
    }

    @Test
    void refusedAttemptIsReplacedByTheNextAttempt() {
        RunClaim refused = claim("server-a", 1, false, 5);
        RunClaim wanted = claim("server-b", 1, false, 0);
        ClaimAction step = ClaimProtocol.claim(DIGEST, wanted, refused).start();
        assertThat(step.type()).isEqualTo(ClaimAction.Type.UPDATE);
        assertThat(step.claim()).isEqualTo(claim("server-b", 2, false, 5));
    }

    @Test
    void releasedClaimIsReplaced() {
        ClaimProtocol protocol = ClaimProtocol.claim(DIGEST, WANTED, null);
        protocol.start();
        protocol.onWriteFailed(WriteFailure.CONFLICT);
        ClaimAction step = protocol.onRead(claim("server-b", 3, true, 9));
        assertThat(step.claim()).isEqualTo(claim("server-a", 4, false, 9));
    }

    @Test
    void otherContentUnderTheSameKeyIsRefused() {
        ClaimProtocol protocol = ClaimProtocol.claim("other", null, null);
        protocol.start();
        assertThat(protocol.onRead(claim("server-b", 1, false, 9)).refusal())
                .isEqualTo(ClaimAction.Refusal.KEY_REUSED);
    }

    @Test
    void releaseFailsWhenALaterAttemptIsClaimed() {
        ClaimProtocol protocol = ClaimProtocol.release(claim("server-a", 1, false, 5));
        assertThat(protocol.start().claim()).isEqualTo(claim("server-a", 1, true, 5));
        protocol.onWriteFailed(WriteFailure.CONFLICT);
        assertThat(protocol.onRead(claim("server-b", 2, false, 6)).refusal())
                .isEqualTo(ClaimAction.Refusal.CLAIMED_AGAIN);
    }

    @Test
    void releaseIsSettledByReadingWhenItsAnswerIsLost() {
        ClaimProtocol protocol = ClaimProtocol.release(claim("server-a", 1, false, 5));
        protocol.start();
        protocol.onWriteFailed(WriteFailure.OUTCOME_UNKNOWN);
        RunClaim released = claim("server-a", 1, true, 6);
        assertThat(protocol.onRead(released)).isEqualTo(ClaimAction.granted(released));
    }

    @Test
    void withoutServerOnlyAClaimInForceIsFollowed() {
        ClaimProtocol protocol = ClaimProtocol.claim(DIGEST, null, null);
        assertThat(protocol.start()).isEqualTo(ClaimAction.read());
        assertThat(protocol.onMissing().refusal()).isEqualTo(ClaimAction.Refusal.NO_SERVER);
        RunClaim held = claim("server-a", 1, false, 5);
        assertThat(protocol.onRead(held)).isEqualTo(ClaimAction.granted(held));
        assertThat(protocol.onRead(held.asReleased()).refusal())
                .isEqualTo(ClaimAction.Refusal.NO_SERVER);
        assertThrows(IllegalArgumentException.class, () -> ClaimProtocol.claim(DIGEST, null, held));
    }
}
