package io.pollenpath.transport.serving;

import java.io.ByteArrayOutputStream;
import java.util.List;

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
     * the end is somewhere within the second, which goes on behind it. In chunks only a whole head
     * fits in, since what comes behind a chunk is checked by itself.
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
        boolean counted = framing == AnswerFraming.LENGTH;
        AnswerEnd last = counted ? ofCounted(body, heads, behind) : OWN;
        boolean outOfStep = heads.whole() && isOutOfStep(behind);
        return last == OWN && outOfStep ? FILLED : last;
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
        List<byte[]> lateHeads = lateHeads(body);
        boolean shown = lateHeads.stream().anyMatch(EmbeddedHead::hasVersion);
        if (heads.whole() || heads.statusOpen() || shown) {
            return FILLED;
        }
        return lateHeads.isEmpty() ? OWN : UNCLEAR;
    }

    /** Judges an answer whose end was found by counting its bytes. */
    private static AnswerEnd ofCounted(BodyBuffer body, EmbeddedHead.Finding heads, byte[] behind) {
        AnswerEnd worst = OWN;
        for (byte[] late : lateHeads(body)) {
            worst = worst(worst, behind.length == 0 ? UNCLEAR : ofJoined(late, behind));
        }
        if (heads.isOpen()) {
            worst = worst(worst, ofOpenHead(body, heads, behind));
        }
        return worst;
    }

    private static AnswerEnd ofOpenHead(
            BodyBuffer body, EmbeddedHead.Finding heads, byte[] behind) {
        if (behind.length == 0) {
            return heads.statusOpen() ? UNCLEAR : OWN;
        }
        return ofJoined(body.from(heads.openAt()), behind);
    }

    /** Returns the ends of a body that came as pieces of their own and begin like an answer. */
    private static List<byte[]> lateHeads(BodyBuffer body) {
        return body.latePieces().stream().filter(EmbeddedHead::isBegun).toList();
    }

    private static AnswerEnd worst(AnswerEnd one, AnswerEnd other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    /** Judges the end of a body that begins like a head, by whether it goes on behind the body. */
    private static AnswerEnd ofJoined(byte[] tail, byte[] behind) {
        if (EmbeddedHead.isInterim(tail)) {
            return EmbeddedHead.mayBegin(behind) ? FILLED : OWN;
        }
        if (!isOutOfStep(behind)) {
            return EmbeddedHead.hasVersion(behind) ? OWN : UNCLEAR;
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
