package io.pollenpath.transport.serving;

import java.util.function.Predicate;

/**
 * The heads of answers that a body holds.
 *
 * @param known those that HTTP/1 knows
 * @param alike those that look like one, whether HTTP/1 knows them or not
 * @param endsWithVersion whether the body ends like the begin of one, before its status
 */
record BodyHeads(EmbeddedHead.Finding known, EmbeddedHead.Finding alike, boolean endsWithVersion) {

    /**
     * Finds the heads in a body, which may end before the last head does.
     *
     * @param body the body, not null
     * @param isKnownId whether an ID is that of a request, not null
     */
    static BodyHeads in(byte[] body, Predicate<String> isKnownId) {
        return new BodyHeads(
                EmbeddedHead.find(HeadForm.HTTP_1, body, isKnownId),
                EmbeddedHead.find(HeadForm.LIKE_HTTP, body, isKnownId),
                EmbeddedHead.endsWithVersion(body));
    }

    /** Returns whether the body holds a head, or the begin of one, of either form. */
    boolean isAny() {
        return isAny(known) || isAny(alike);
    }

    private static boolean isAny(EmbeddedHead.Finding found) {
        return found.whole() || found.named() || found.isOpen();
    }

    /**
     * Returns whether the body may end with a second answer that HTTP/1 does not know: its head
     * names a known request, or is open at the end.
     */
    boolean mayEndWithBrokenAnswer() {
        return alike.named() || (alike.isOpen() && alike.statusOpen());
    }
}
