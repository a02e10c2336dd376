package io.pollenpath.transport.serving;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the bytes of a body in blocks. A block is never copied into a larger one, and holds the
 * bytes of many small pieces. A body whose length is expected has one block.
 */
final class BodyBuffer {

    private static final int FIRST_BLOCK_BYTES = 1_024;
    private static final int MAX_BLOCK_BYTES = 65_536;

    private final List<byte[]> blocks = new ArrayList<>();
    private final PieceStarts pieces = new PieceStarts();
    private byte[] last = new byte[0];
    private int expectedLength;
    private int lastLength;
    private int length;
    private long allocatedBytes;

    /**
     * Expects a body of a given length. Has no effect once bytes were appended.
     *
     * @param bytes the length, in bytes, at least 0
     */
    void expect(int bytes) {
        expectedLength = bytes;
    }

    /** Appends all readable bytes of a piece. */
    void append(ByteBuf piece) {
        while (piece.isReadable()) {
            int count = makeRoom(piece.readableBytes());
            piece.readBytes(last, lastLength, count);
            onAdded(count);
        }
    }

    /** Appends bytes. */
    void append(byte[] piece) {
        pieces.add(length, piece);
        int start = 0;
        while (start < piece.length) {
            int count = makeRoom(piece.length - start);
            System.arraycopy(piece, start, last, lastLength, count);
            onAdded(count);
            start += count;
        }
    }

    private int makeRoom(int wanted) {
        if (lastLength == last.length) {
            last = new byte[nextBlockBytes()];
            blocks.add(last);
            lastLength = 0;
            allocatedBytes += last.length;
        }
        return Math.min(wanted, last.length - lastLength);
    }

    private int nextBlockBytes() {
        if (blocks.isEmpty() && expectedLength > 0) {
            return expectedLength;
        }
        return Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, 2 * last.length));
    }

    private void onAdded(int count) {
        lastLength += count;
        length += count;
    }

    /**
     * Returns the ends of the body that begin with a piece of its own, which may be the begin of an
     * answer; the longest first.
     */
    List<byte[]> latePieces() {
        return pieces.latest(length).stream().map(this::from).toList();
    }

    /** Returns a copy of the bytes from an offset on, without one of those before it. */
    byte[] from(int offset) {
        byte[] bytes = new byte[length - offset];
        int blockStart = 0;
        for (byte[] block : blocks) {
            int blockEnd = Math.min(blockStart + block.length, length);
            int from = Math.max(blockStart, offset);
            if (from < blockEnd) {
                System.arraycopy(block, from - blockStart, bytes, from - offset, blockEnd - from);
            }
            blockStart += block.length;
        }
        return bytes;
    }

    /** Returns the number of bytes that were appended. */
    int length() {
        return length;
    }

    /** Returns the bytes of all blocks, whether used or not. */
    long allocatedBytes() {
        return allocatedBytes;
    }

    /** Returns all appended bytes as one array, to be called when the body is complete. */
    byte[] toByteArray() {
        if (blocks.size() == 1 && last.length == length) {
            return last;
        }
        byte[] all = new byte[length];
        int end = 0;
        for (byte[] block : blocks) {
            int count = Math.min(block.length, length - end);
            System.arraycopy(block, 0, all, end, count);
            end += count;
        }
        return all;
    }
}
