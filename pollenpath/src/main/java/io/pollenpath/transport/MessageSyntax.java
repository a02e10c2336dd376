package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Judges the heads, the framing of chunks and the trailers of the messages of one connection by the
 * bytes that were sent, before or as a decoder reads them.
 */
final class MessageSyntax {

    private final Supplier<HeadSyntax> newHead;
    private HeadSyntax head;
    private ChunkFraming chunks;

    /** The number of bytes that were judged as part of a head and are not decoded yet. */
    private int judgedBytes;

    /** Where the bytes end that were judged as part of a head. */
    private int judgedTo;

    /**
     * Creates the syntax of a connection on which nothing has come yet.
     *
     * @param newHead returns the syntax of the head of a message, not null
     */
    MessageSyntax(Supplier<HeadSyntax> newHead) {
        this.newHead = newHead;
        expectMessage();
    }

    /** Expects a message from its first byte on. */
    void expectMessage() {
        chunks = null;
        expect(newHead.get());
    }

    private void expect(HeadSyntax next) {
        head = next;
        judgedBytes = 0;
    }

    /**
     * Judges what has come of a head, before the decoder reads it.
     *
     * @param in holds the bytes that are not decoded yet, not null; not changed
     * @return what is wrong with them; empty if nothing is
     */
    Optional<String> flawOfHead(ByteBuf in) {
        judgedTo = head.follow(in, in.readerIndex() + judgedBytes, in.writerIndex());
        return head.isSound() ? Optional.empty() : Optional.of(head.flaw());
    }

    /**
     * Judges the chunks that the decoder has just read.
     *
     * @param in holds the bytes, not null; not changed
     * @param start where the decoder began to read
     * @return what is wrong with the bytes that frame them; empty if nothing is
     */
    Optional<String> flawOfChunks(ByteBuf in, int start) {
        judgedBytes = Math.max(0, judgedTo - in.readerIndex());
        if (chunks == null) {
            return Optional.empty();
        }
        boolean inTrailers = chunks.isAtTrailers();
        if (!chunks.follow(in, start, in.readerIndex())) {
            return Optional.of("bytes that frame no chunk");
        }
        if (!inTrailers && chunks.isAtTrailers()) {
            expect(HeadSyntax.ofTrailers());
        }
        return Optional.empty();
    }

    /** Returns how many bytes of data have come of a chunk that is not whole; 0 without chunks. */
    long incompleteChunkBytes() {
        return chunks == null ? 0 : chunks.incompleteBytes();
    }

    /** Hears what was decoded, a head or a part of a body. */
    void onDecoded(Object decoded) {
        if (decoded instanceof HttpMessage message) {
            chunks = HttpUtil.isTransferEncodingChunked(message) ? new ChunkFraming() : null;
        }
        if (decoded instanceof LastHttpContent) {
            expectMessage();
        }
    }
}
