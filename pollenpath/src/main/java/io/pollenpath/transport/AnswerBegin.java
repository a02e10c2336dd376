package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Judges bytes on a connection to a server by the grammar of the answer that may begin there. */
public final class AnswerBegin {

    private AnswerBegin() {}

    /**
     * Returns whether bytes are the begin of an answer, as far as they go. They may go on behind
     * the head in any way.
     *
     * @param bytes the bytes, not null; not changed
     * @return true if none of them must not stand in the head of an answer
     */
    public static boolean isSound(byte[] bytes) {
        return headOf(bytes).isSound();
    }

    /**
     * Returns whether bytes begin with the whole head of an answer.
     *
     * @param bytes the bytes, not null; not changed
     * @return true if an empty line ends the head
     */
    public static boolean isWhole(byte[] bytes) {
        return headOf(bytes).isWhole();
    }

    private static HeadSyntax headOf(byte[] bytes) {
        ByteBuf wrapped = Unpooled.wrappedBuffer(bytes);
        HeadSyntax head = HeadSyntax.ofAnswer();
        head.follow(wrapped, 0, bytes.length);
        return head;
    }
}
