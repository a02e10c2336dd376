package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class AnswerBufferTest {

    private final AnswerBuffer buffer = new AnswerBuffer();

    @Test
    void resumesFromAnyKeptPiece() {
        buffer.append(new byte[] {1});
        buffer.append(new byte[] {2});
        buffer.append(new byte[] {3});
        sendAll();
        buffer.acknowledge(1);
        buffer.releaseAcknowledged(1);
        assertThat(buffer.from(2)).hasSize(1);
        assertThat(buffer.from(2).get(0)).isEqualTo(new byte[] {3});
        assertThat(buffer.from(3)).isEmpty();
        assertThat(buffer.bytes()).isEqualTo(2 * AnswerBuffer.costBytes(new byte[1]));
    }

    @Test
    void releasedPieceNamesWhereToAsk() {
        buffer.append(new byte[] {1});
        sendAll();
        buffer.acknowledge(1);
        buffer.releaseAcknowledged(1);
        assertThat(assertThrows(IllegalArgumentException.class, () -> buffer.from(0)))
                .hasMessageThat()
                .contains("ask from 1");
    }

    @Test
    void finishedAnswerTakesNoLatePiece() {
        buffer.finish();
        assertThrows(IllegalStateException.class, () -> buffer.append(new byte[] {1}));
    }

    @Test
    void acknowledgedPieceIsKeptForACallerThatLostIt() {
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
    void windowIsPassedByAtMostOnePiece() {
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
