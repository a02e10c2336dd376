package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.AsciiString;

/**
 * Judges the head or the trailers of an answer by the bytes that were sent, as they come: a status
 * line, the lines of fields, and an empty line (RFC 9112, sections 2 to 5). The decoder reads more
 * than this grammar knows, and what it makes of a line no longer shows what stood there: it stops a
 * status at any blank, takes "+200" and "0200" for 200, cuts a name at its first blank, joins a
 * line that begins with a blank to the value before it, and keeps one of several lengths.
 *
 * <p>A line may end with a line feed alone, and the blank before a missing reason may be missing
 * too (RFC 9112, sections 2.2 and 4).
 */
final class AnswerHeadSyntax {

    /** The begin of a status line: x stands for the minor version, nnn for the status. */
    private static final String STATUS_LINE = "HTTP/1.x nnn";

    /** The bytes besides letters and digits that may stand in the name of a field. */
    private static final String NAME_MARKS = "!#$%&'*+-.^_`|~";

    private static final AsciiString CONTENT_LENGTH = HttpHeaderNames.CONTENT_LENGTH;
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
        LINE_BEGIN("begin of a field"),
        NAME("name of a field"),
        VALUE("value of a field"),
        HEAD_END("empty line"),
        ENDED("head");

        private final String text;

        Part(String text) {
            this.text = text;
        }
    }

    /** The name of the current field, as far as it tells whether the field is a length. */
    private final StringBuilder name = new StringBuilder();

    private Part part;
    private int statusBytes;
    private boolean hasLength;
    private boolean secondLength;
    private boolean flawed;

    private AnswerHeadSyntax(Part first) {
        part = first;
    }

    /** Returns the syntax of a head, of which no byte has come yet. */
    static AnswerHeadSyntax ofHead() {
        return new AnswerHeadSyntax(Part.STATUS);
    }

    /** Returns the syntax of the fields behind the last chunk, up to the empty line. */
    static AnswerHeadSyntax ofTrailers() {
        return new AnswerHeadSyntax(Part.LINE_BEGIN);
    }

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

    /** Returns what is wrong with the bytes so far, if they are not sound. */
    String flaw() {
        return secondLength
                ? "a second " + CONTENT_LENGTH
                : "a byte that must not stand in the " + part.text;
    }

    private void read(int octet) {
        switch (part) {
            case STATUS -> readStatus(octet);
            case STATUS_END -> readStatusEnd(octet);
            case REASON, VALUE -> readText(octet);
            case LINE_END -> readLineFeed(octet, Part.LINE_BEGIN);
            case LINE_BEGIN -> readLineBegin(octet);
            case NAME -> readName(octet);
            case HEAD_END -> readLineFeed(octet, Part.ENDED);
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
            part = Part.LINE_BEGIN;
        }
        return octet == '\r' || octet == '\n';
    }

    /** Reads the line feed that must follow a carriage return. */
    private void readLineFeed(int octet, Part next) {
        if (octet == '\n') {
            part = next;
        } else {
            flawed = true;
        }
    }

    private void readLineBegin(int octet) {
        if (octet == '\r') {
            part = Part.HEAD_END;
        } else if (octet == '\n') {
            part = Part.ENDED;
        } else {
            part = Part.NAME;
            name.setLength(0);
            readNameByte(octet);
        }
    }

    private void readName(int octet) {
        if (octet == ':') {
            part = Part.VALUE;
            readNameEnd();
        } else {
            readNameByte(octet);
        }
    }

    private void readNameByte(int octet) {
        flawed = !isNameByte(octet);
        if (name.length() <= CONTENT_LENGTH.length()) {
            name.append((char) octet);
        }
    }

    private void readNameEnd() {
        if (CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            secondLength = hasLength;
            flawed = secondLength;
            hasLength = true;
        }
    }

    /** Returns whether a byte may stand in the name of a field (RFC 9110, section 5.6.2). */
    private static boolean isNameByte(int octet) {
        return isDigit(octet) || isLetter(octet) || NAME_MARKS.indexOf(octet) >= 0;
    }

    private static boolean isLetter(int octet) {
        return (octet >= 'a' && octet <= 'z') || (octet >= 'A' && octet <= 'Z');
    }

    private static boolean isDigit(int octet) {
        return octet >= '0' && octet <= '9';
    }

    /** Returns whether a byte may stand in a reason or a value; those above 0x7f may. */
    private static boolean isText(int octet) {
        return octet == '\t' || (octet >= ' ' && octet != DELETE);
    }
}
