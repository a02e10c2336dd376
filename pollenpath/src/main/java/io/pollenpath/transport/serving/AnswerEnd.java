package io.pollenpath.transport.serving;

import io.pollenpath.transport.AnswerBegin;
import java.util.List;

/** What the end of a buffered answer tells about its bytes. */
enum AnswerEnd {
    /** The bytes are those of this answer, as far as can be told. */
    OWN,
    /** So they are if nothing comes next; other bytes may tell that they are not. */
    AWAITED,
    /** They may end within a second answer; what comes next on the connection will tell. */
    UNCLEAR,
    /** Some of them are those of a second answer. */
    FILLED;

    /** Returns whether nothing tells that some of the bytes are those of something else. */
    boolean isOwn() {
        return this == OWN || this == AWAITED;
    }

    /**
     * Judges a whole answer by what came behind it, and by its last bytes. Behind a sound answer
     * comes nothing, or the version of a second answer. Other bytes belong to no request: the
     * server is out of step, and a named length tells no longer which bytes are those of the
     * answer. In chunks only a whole head fits in, since what comes behind a chunk is checked by
     * itself.
     *
     * @param framing how the answer marks its end, not null
     * @param body the body, not null
     * @param heads the heads within the body, not null
     * @param behind the bytes that came behind the answer, not null
     */
    static AnswerEnd of(AnswerFraming framing, BodyBuffer body, BodyHeads heads, byte[] behind) {
        EmbeddedHead.Finding known = heads.known();
        if (known.named()) {
            return FILLED;
        }
        boolean mayBeFilled = framing == AnswerFraming.LENGTH ? body.length() > 0 : known.whole();
        if (mayBeFilled && isOutOfStep(behind)) {
            return FILLED;
        }
        return switch (framing) {
            case CLOSE -> ofClosed(body, heads);
            case LENGTH -> ofCounted(body, heads, behind);
            default -> OWN;
        };
    }

    /**
     * Judges the end of a stream whose events were passed on as they came.
     *
     * @param framing how the stream marks its end, not null
     * @param endsWithInterim whether it ends like an interim answer, which another head would
     *     follow
     * @param behind the bytes that came behind the stream, not null
     */
    static AnswerEnd ofStream(AnswerFraming framing, boolean endsWithInterim, byte[] behind) {
        AnswerEnd counted = framing == AnswerFraming.LENGTH ? ofBytesBehindStream(behind) : OWN;
        return endsWithInterim ? worst(counted, ofInterim(framing, behind)) : counted;
    }

    private static AnswerEnd ofBytesBehindStream(byte[] behind) {
        if (isOutOfStep(behind)) {
            return FILLED;
        }
        return behind.length == 0 || EmbeddedHead.hasVersion(behind) ? OWN : UNCLEAR;
    }

    private static AnswerEnd ofInterim(AnswerFraming framing, byte[] behind) {
        if (framing == AnswerFraming.CLOSE) {
            return FILLED;
        }
        if (behind.length == 0) {
            return UNCLEAR;
        }
        return EmbeddedHead.mayBegin(behind) ? FILLED : OWN;
    }

    /** Judges an answer behind which nothing can come; a second one may be cut anywhere. */
    private static AnswerEnd ofClosed(BodyBuffer body, BodyHeads heads) {
        EmbeddedHead.Finding known = heads.known();
        List<byte[]> lateHeads = lateHeads(body);
        boolean shown = lateHeads.stream().anyMatch(EmbeddedHead::hasVersion);
        if (known.whole() || known.statusOpen() || shown) {
            return FILLED;
        }
        return lateHeads.isEmpty() && !heads.mayEndWithBrokenAnswer() ? OWN : UNCLEAR;
    }

    /** Judges an answer whose end was found by counting its bytes, and that is not out of step. */
    private static AnswerEnd ofCounted(BodyBuffer body, BodyHeads heads, byte[] behind) {
        if (body.length() == 0) {
            return OWN;
        }
        boolean broken = behind.length == 0 && heads.mayEndWithBrokenAnswer();
        AnswerEnd worst = worst(broken ? UNCLEAR : OWN, ofBehind(heads, behind));
        if (behind.length == 0 && heads.endsWithVersion()) {
            worst = worst(worst, AWAITED);
        }
        for (byte[] late : lateHeads(body)) {
            worst = worst(worst, behind.length == 0 ? UNCLEAR : ofHead(late));
        }
        if (heads.known().isOpen()) {
            worst = worst(worst, ofOpenHead(body, heads.known(), behind));
        }
        return worst;
    }

    private static AnswerEnd ofOpenHead(
            BodyBuffer body, EmbeddedHead.Finding heads, byte[] behind) {
        if (behind.length == 0) {
            return heads.statusOpen() ? UNCLEAR : OWN;
        }
        return ofHead(body.from(heads.openAt()));
    }

    /** Judges a body that ends within or with a head, behind which an answer begins. */
    private static AnswerEnd ofHead(byte[] head) {
        return EmbeddedHead.isInterim(head) ? FILLED : OWN;
    }

    /** Returns the ends of a body that came as pieces of their own and begin like an answer. */
    private static List<byte[]> lateHeads(BodyBuffer body) {
        return body.latePieces().stream().filter(EmbeddedHead::isBegun).toList();
    }

    /** Returns the one of two ends that tells less, or worse, of the bytes. */
    static AnswerEnd worst(AnswerEnd one, AnswerEnd other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    /**
     * Judges the bytes behind an answer by the head with which they begin. One that is broken or
     * cut follows sound answers too, but a body that holds such heads may be filled up by them.
     */
    private static AnswerEnd ofBehind(BodyHeads heads, byte[] behind) {
        if (behind.length == 0) {
            return OWN;
        }
        if (!heads.isAny()) {
            return EmbeddedHead.hasVersion(behind) ? OWN : UNCLEAR;
        }
        if (!AnswerBegin.isSound(behind)) {
            return FILLED;
        }
        return AnswerBegin.isWhole(behind) ? OWN : UNCLEAR;
    }

    /** Returns whether bytes came behind an answer that do not begin like another one. */
    private static boolean isOutOfStep(byte[] behind) {
        return behind.length > 0 && !EmbeddedHead.mayBegin(behind);
    }
}
