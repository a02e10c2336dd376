package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RetainedAnswersTest {

    private static final int COST_BYTES = AnswerBuffer.costBytes(new byte[36]);

    private final RetainedAnswers answers = new RetainedAnswers(3L * COST_BYTES);

    private AnswerBuffer answer(String id, int pieces, boolean acknowledged) {
        AnswerBuffer answer = answers.open(id);
        for (int i = 0; i < pieces; i++) {
            append(id);
        }
        if (acknowledged) {
            while (answer.poll(Integer.MAX_VALUE) != null) {
                answer.acknowledge(answer.nextIndex());
            }
        }
        return answer;
    }

    private void append(String id) {
        answers.append(id, new byte[36], requestId -> requestId.equals("read"));
    }

    @Test
    void reclaimsAcknowledgedPiecesOfEndedAnswersFirst() {
        AnswerBuffer running = answer("running", 1, true);
        AnswerBuffer ended = answer("ended", 2, true);
        answers.end("ended");
        append("running");
        assertThat(ended.bytes()).isEqualTo(COST_BYTES);
        assertThat(running.bytes()).isEqualTo(2 * COST_BYTES);
        assertThat(answers.isFull(requestId -> requestId.equals("read"))).isFalse();
    }

    @Test
    void reclaimsEndedAnswersWithoutReaderLast() {
        AnswerBuffer abandoned = answer("abandoned", 1, false);
        answers.end("abandoned");
        AnswerBuffer running = answer("running", 1, true);
        append("running");
        append("running");
        assertThat(running.bytes()).isEqualTo(2 * COST_BYTES);
        assertThat(abandoned.bytes()).isEqualTo(COST_BYTES);
        append("running");
        assertThat(abandoned.bytes()).isEqualTo(0);
    }

    @Test
    void acknowledgedPiecesCanBeReclaimed() {
        AnswerBuffer running = answer("running", 4, false);
        assertThat(answers.isFull(requestId -> true)).isTrue();
        running.poll(1);
        running.acknowledge(1);
        assertThat(answers.isFull(requestId -> true)).isFalse();
    }

    @Test
    void neverReclaimsUnacknowledgedPiecesOfAReadAnswer() {
        AnswerBuffer read = answer("read", 3, false);
        answers.end("read");
        answer("running", 1, false);
        assertThat(read.bytes()).isEqualTo(3 * COST_BYTES);
        assertThat(answers.isFull(requestId -> requestId.equals("read"))).isTrue();
        answers.remove("read");
        assertThat(answers.isFull(requestId -> requestId.equals("read"))).isFalse();
        assertThat(answers.totalBytes()).isEqualTo(COST_BYTES);
    }
}
