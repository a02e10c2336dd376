package io.pollenpath.transport.serving;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/** What the end of a buffered answer tells about its bytes. */
enum AnswerEnd {
    /** The bytes are those of this answer, as far as can be told. */
    OWN,
    /** They may end within a second answer; what comes next on the connection will tell. */
    UNCLEAR,
    /** Some of them are those of a second answer. */
    FILLED;

    /**
     * Judges an answer by its last bytes and what came behind them. The bytes behind a sound answer
     * begin with a status line, if there are any. If a second answer has filled up the first one,
     * the end is somewhere within the second, which goes on behind it.
     *
     * @param framing how the answer marks its end, not null
     * @param body the body, not null
     * @param heads the heads within the body, not null
     * @param behind the bytes that came behind the answer, not null
     */
    static AnswerEnd of(
            AnswerFraming framing, BodyBuffer body, EmbeddedHead.Finding heads, byte[] behind) {
        if (heads.named()) {
            return FILLED;
        }
        if (framing == AnswerFraming.CLOSE) {
            return ofClosed(body, heads);
        }
        if (framing == AnswerFraming.LENGTH && heads.isOpen()) {
            return behind.length == 0 ? ofLast(body, heads) : ofJoined(body, heads, behind);
        }
        return heads.whole() && isOutOfStep(behind) ? FILLED : OWN;
    }

    /**
     * Judges a stream that ends like an interim answer, which another head would follow.
     *
     * @param framing how the stream marks its end, not null
     * @param behind the bytes that came behind the stream, not null
     */
    static AnswerEnd ofInterim(AnswerFraming framing, byte[] behind) {
        if (framing == AnswerFraming.CLOSE) {
            return FILLED;
        }
        if (behind.length == 0) {
            return UNCLEAR;
        }
        return EmbeddedHead.mayBegin(behind) ? FILLED : OWN;
    }

    /** Judges an answer behind which nothing can come; a second one may be cut anywhere. */
    private static AnswerEnd ofClosed(BodyBuffer body, EmbeddedHead.Finding heads) {
        return heads.whole() || ofLast(body, heads) == UNCLEAR ? FILLED : OWN;
    }

    /** Judges an answer that ends like a head and behind which nothing has come. */
    private static AnswerEnd ofLast(BodyBuffer body, EmbeddedHead.Finding heads) {
        boolean late = heads.isOpen() && (heads.statusOpen() || body.isPieceAt(heads.openAt()));
        return late ? UNCLEAR : OWN;
    }

    /** Judges an answer that ends like a head, by whether that head goes on behind it. */
    private static AnswerEnd ofJoined(BodyBuffer body, EmbeddedHead.Finding heads, byte[] behind) {
        byte[] bytes = body.toByteArray();
        byte[] tail = Arrays.copyOfRange(bytes, heads.openAt(), bytes.length);
        if (EmbeddedHead.isInterim(tail)) {
            return EmbeddedHead.mayBegin(behind) ? FILLED : OWN;
        }
        if (!isOutOfStep(behind)) {
            return EmbeddedHead.hasVersion(behind) ? OWN : ofLast(body, heads);
        }
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        joined.writeBytes(tail);
        joined.writeBytes(behind);
        return switch (EmbeddedHead.around(joined.toByteArray(), tail.length)) {
            case HEAD -> FILLED;
            case SHORT -> UNCLEAR;
            case OTHER -> OWN;
        };
    }

    private static boolean isOutOfStep(byte[] behind) {
        return behind.length > 0 && !EmbeddedHead.mayBegin(behind);
    }
}
