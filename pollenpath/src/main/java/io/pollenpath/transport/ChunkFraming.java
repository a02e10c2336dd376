package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the framing of a body in chunks more strictly than the decoder does. The decoder ignores
 * what stands behind a control character or a blank in the line of a size, and all bytes up to the
 * next line feed behind a chunk; it takes any line end there. Where a server stops within its
 * framing and answers once more, this would hide the status line of the second answer.
 */
final class ChunkFraming {

    private static final Pattern SIZE_LINE =
            Pattern.compile("(0*\\p{XDigit}{1,8})[ \\t]*(;[^\\x00-\\x08\\x0a-\\x1f]*)?\\r?");
    private static final int HEXADECIMAL = 16;

    /** The parts of a body in chunks. */
    private enum Part {
        SIZE_LINE,
        DATA,
        LINE_END,
        TRAILERS,
        FLAWED
    }

    private final StringBuilder line = new StringBuilder();
    private Part part = Part.SIZE_LINE;
    private long dataLeft;
    private long incompleteBytes;

    /**
     * What stands before the line feed behind the data of a chunk: that of the line of its size.
     */
    private String lineEnd = "";

    /**
     * Follows the next bytes of the body.
     *
     * @param bytes holds the bytes, not null; not changed
     * @param from where they begin
     * @param to where they end
     * @return whether all bytes so far are sound
     */
    boolean follow(ByteBuf bytes, int from, int to) {
        int at = from;
        while (at < to && part != Part.TRAILERS && part != Part.FLAWED) {
            if (part == Part.DATA) {
                at += skipData(to - at);
            } else {
                readFraming(bytes.getByte(at));
                at++;
            }
        }
        return part != Part.FLAWED;
    }

    /** Returns whether the line of the last chunk has come, which is empty. */
    boolean isAtTrailers() {
        return part == Part.TRAILERS;
    }

    /** Returns how many bytes of data have come of a chunk that is not whole, or not sound. */
    long incompleteBytes() {
        return incompleteBytes;
    }

    private int skipData(int available) {
        int count = (int) Math.min(dataLeft, available);
        dataLeft -= count;
        incompleteBytes += count;
        if (dataLeft == 0) {
            part = Part.LINE_END;
        }
        return count;
    }

    private void readFraming(byte next) {
        boolean endsLine = next == '\n';
        if (!endsLine) {
            line.append((char) (next & 0xff));
        }
        if (part == Part.LINE_END) {
            readLineEnd(endsLine);
        } else if (endsLine) {
            readSize();
        }
    }

    private void readLineEnd(boolean ended) {
        String read = line.toString();
        if (!lineEnd.startsWith(read) || (ended && !lineEnd.equals(read))) {
            part = Part.FLAWED;
        } else if (ended) {
            part = Part.SIZE_LINE;
            incompleteBytes = 0;
            line.setLength(0);
        }
    }

    private void readSize() {
        Matcher matcher = SIZE_LINE.matcher(line);
        if (!matcher.matches() || line.indexOf(StatusLine.VERSION) >= 0) {
            part = Part.FLAWED;
            return;
        }
        lineEnd = line.charAt(line.length() - 1) == '\r' ? "\r" : "";
        dataLeft = Long.parseLong(matcher.group(1), HEXADECIMAL);
        part = dataLeft == 0 ? Part.TRAILERS : Part.DATA;
        line.setLength(0);
    }
}
