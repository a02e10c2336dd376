package io.pollenpath.transport.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Where the latest pieces of a body begin that look like the begin of an HTTP answer. A server that
 * answers twice writes its second answer by itself, so it begins with a piece unless two pieces are
 * read at once.
 */
final class PieceStarts {

    /** A head that comes byte by byte has fewer pieces that begin with this letter. */
    private static final int MAX_STARTS = 16;

    /** A longer head is refused by the decoder. */
    private static final int MAX_HEAD_BYTES = 65_536;

    private static final byte FIRST_LETTER = 'H';

    private final Deque<Integer> offsets = new ArrayDeque<>();

    /** Records a piece that begins at an offset. */
    void add(int offset, byte[] piece) {
        if (piece.length == 0 || piece[0] != FIRST_LETTER) {
            return;
        }
        if (offsets.size() == MAX_STARTS) {
            offsets.removeFirst();
        }
        offsets.addLast(offset);
    }

    /** Returns those from which on the body may be the head of an answer, the first one first. */
    List<Integer> latest(int length) {
        return offsets.stream().filter(offset -> length - offset <= MAX_HEAD_BYTES).toList();
    }
}
