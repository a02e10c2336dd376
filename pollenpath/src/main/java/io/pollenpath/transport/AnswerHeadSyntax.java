package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;

/**
 * Judges the status line of an answer by the bytes that were sent, as they come. The decoder reads
 * more than the grammar of RFC 9112, section 4, knows, and what it makes of a line no longer shows
 * what stood there: it stops a status at any blank, and takes "+200" and "0200" for 200.
 *
 * <p>A line may end with a line feed alone, and the blank before a missing reason may be missing
 * too (RFC 9112, sections 2.2 and 4).
 */
final class AnswerHeadSyntax {

    /** The begin of a status line: x stands for the minor version, nnn for the status. */
    private static final String STATUS_LINE = "HTTP/1.x nnn";

    private static final int MINOR_VERSION_AT = STATUS_LINE.indexOf('x');
    private static final int STATUS_AT = STATUS_LINE.indexOf('n');
    private static final int DELETE = 0x7f;
    private static final int OCTET = 0xff;

    /** The parts of a head, and how a message names them. */
    private enum Part {
        STATUS("version or status"),
        STATUS_END("status"),
        REASON("reason"),
        LINE_END("line end"),
        ENDED("head");

        private final String text;

        Part(String text) {
            this.text = text;
        }
    }

    private Part part = Part.STATUS;
    private int statusBytes;
    private boolean flawed;

    /**
     * Follows the next bytes, up to the end of the head or to a byte that must not stand there.
     *
     * @param bytes holds the bytes, not null; not changed
     * @param from where the next byte is
     * @param to where the bytes end
     * @return where the bytes begin that were not looked at
     */
    int follow(ByteBuf bytes, int from, int to) {
        int at = from;
        while (at < to && part != Part.ENDED && !flawed) {
            read(bytes.getByte(at) & OCTET);
            at++;
        }
        return at;
    }

    /** Returns whether all bytes so far may stand where they do. */
    boolean isSound() {
        return !flawed;
    }

    /** Returns the part of the head in which the bytes so far end. */
    String partName() {
        return part.text;
    }

    private void read(int octet) {
        switch (part) {
            case STATUS -> readStatus(octet);
            case STATUS_END -> readStatusEnd(octet);
            case REASON -> readText(octet);
            case LINE_END -> readLineEnd(octet);
            case ENDED -> throw new IllegalStateException("the head has ended");
        }
    }

    private void readStatus(int octet) {
        flawed = !mayStandInStatus(octet, statusBytes);
        statusBytes++;
        if (statusBytes == STATUS_LINE.length() && !flawed) {
            part = Part.STATUS_END;
        }
    }

    /**
     * Returns whether a byte may stand at an offset of the status line; statuses are 100 to 599.
     */
    private static boolean mayStandInStatus(int octet, int offset) {
        if (offset == MINOR_VERSION_AT) {
            return octet == '0' || octet == '1';
        }
        if (offset == STATUS_AT) {
            return octet >= '1' && octet <= '5';
        }
        return offset > STATUS_AT ? isDigit(octet) : octet == STATUS_LINE.charAt(offset);
    }

    private void readStatusEnd(int octet) {
        if (octet == ' ') {
            part = Part.REASON;
        } else if (!endsLine(octet)) {
            flawed = true;
        }
    }

    private void readText(int octet) {
        flawed = !endsLine(octet) && !isText(octet);
    }

    private boolean endsLine(int octet) {
        if (octet == '\r') {
            part = Part.LINE_END;
        } else if (octet == '\n') {
            part = Part.ENDED;
        }
        return octet == '\r' || octet == '\n';
    }

    private void readLineEnd(int octet) {
        flawed = octet != '\n';
        part = flawed ? Part.LINE_END : Part.ENDED;
    }

    private static boolean isDigit(int octet) {
        return octet >= '0' && octet <= '9';
    }

    /** Returns whether a byte may stand in a reason; those above 0x7f may. */
    private static boolean isText(int octet) {
        return octet == '\t' || (octet >= ' ' && octet != DELETE);
    }
}
