package io.pollenpath.transport.serving;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/** The bytes of a body that have come and were not passed on yet. */
final class BodyPieces {

    /** An event is some tokens of text; a longer chunk is passed on before it is whole. */
    static final int MAX_HELD_BYTES = 8_192;

    private static final byte[] NONE = new byte[0];

    private ByteArrayOutputStream pieces = new ByteArrayOutputStream();

    /** Adds bytes that have come. */
    void add(byte[] bytes) {
        pieces.writeBytes(bytes);
    }

    /**
     * Takes what can be passed on.
     *
     * @param incompleteBytes how many bytes have come of a chunk that is not whole. They are held
     *     back, as far as they are here, unless they are too many.
     * @return the bytes; may be empty
     */
    byte[] take(long incompleteBytes) {
        boolean tooMany = incompleteBytes > MAX_HELD_BYTES;
        int held = tooMany ? 0 : (int) Math.min(incompleteBytes, pieces.size());
        if (held == pieces.size()) {
            return NONE;
        }
        byte[] bytes = pieces.toByteArray();
        pieces = new ByteArrayOutputStream();
        pieces.write(bytes, bytes.length - held, held);
        return Arrays.copyOf(bytes, bytes.length - held);
    }

    /** Forgets all bytes. */
    void clear() {
        pieces.reset();
    }
}
