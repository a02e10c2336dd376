package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class AnswerBufferTest {

    private final AnswerBuffer buffer = new AnswerBuffer();

    @Test
    void resumesFromAnyRetainedPiece() {
        buffer.append(new byte[] {1});
        buffer.append(new byte[] {2});
        buffer.append(new byte[] {3});
        sendAll();
        buffer.acknowledge(1);
        buffer.releaseAcknowledged(1);
        assertThat(buffer.piecesFrom(2)).hasSize(1);
        assertThat(buffer.piecesFrom(2).get(0)).isEqualTo(new byte[] {3});
        assertThat(buffer.piecesFrom(3)).isEmpty();
        assertThat(buffer.bytes()).isEqualTo(2 * AnswerBuffer.costBytes(new byte[1]));
    }

    @Test
    void errorForReleasedPieceNamesFirstRetainedPiece() {
        buffer.append(new byte[] {1});
        sendAll();
        buffer.acknowledge(1);
        buffer.releaseAcknowledged(1);
        assertThat(assertThrows(IllegalArgumentException.class, () -> buffer.piecesFrom(0)))
                .hasMessageThat()
                .contains("first retained piece is 1");
    }

    @Test
    void finishedAnswerRejectsFurtherPieces() {
        buffer.finish();
        assertThrows(IllegalStateException.class, () -> buffer.append(new byte[] {1}));
    }

    @Test
    void acknowledgedPieceCanBeSentAgain() {
        buffer.append(new byte[] {1});
        sendAll();
        buffer.acknowledge(1);
        buffer.rewind(0);
        assertThat(buffer.poll(1).data()).isEqualTo(new byte[] {1});
    }

    @Test
    void unsentPieceIsNotAcknowledged() {
        buffer.append(new byte[] {1});
        buffer.acknowledge(1);
        assertThat(buffer.releaseAcknowledged(Long.MAX_VALUE)).isEqualTo(0);
    }

    @Test
    void windowIsExceededByAtMostOnePiece() {
        buffer.append(new byte[100]);
        buffer.append(new byte[100]);
        assertThat(buffer.poll(150).index()).isEqualTo(0);
        assertThat(buffer.poll(150)).isNull();
        buffer.acknowledge(1);
        assertThat(buffer.poll(150).index()).isEqualTo(1);
        assertThat(buffer.isAllSent()).isTrue();
    }

    private void sendAll() {
        while (buffer.poll(Integer.MAX_VALUE) != null) {
            assertThat(buffer.nextIndex()).isGreaterThan(0);
        }
    }
}
