package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.AsciiString;

/**
 * Judges the head or the trailers of a message by the bytes that were sent, as they come: a first
 * line, the lines of fields, and an empty line (RFC 9112, sections 2 to 5). The decoder reads more
 * than this grammar knows, and what it makes of a line no longer shows what stood there: it stops a
 * status at any blank, takes "+200" and "0200" for 200, cuts a name at its first blank, joins a
 * line that begins with a blank to the value before it, and keeps one of several lengths.
 *
 * <p>A line may end with a line feed alone (RFC 9112, section 2.2).
 */
final class HeadSyntax {

    private static final AsciiString CONTENT_LENGTH = HttpHeaderNames.CONTENT_LENGTH;
    private static final int OCTET = 0xff;

    /** The parts of a head, and how a message names them. */
    private enum Part {
        FIRST_LINE("first line"),
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

    private final FirstLineSyntax firstLine;
    private Part part;
    private boolean hasLength;
    private boolean secondLength;
    private boolean flawed;

    private HeadSyntax(FirstLineSyntax firstLine, Part first) {
        this.firstLine = firstLine;
        part = first;
    }

    /** Returns the syntax of the head of an answer, of which no byte has come yet. */
    static HeadSyntax ofAnswer() {
        return new HeadSyntax(new StatusLineSyntax(), Part.FIRST_LINE);
    }

    /** Returns the syntax of the head of a request, of which no byte has come yet. */
    static HeadSyntax ofRequest() {
        return new HeadSyntax(new RequestLineSyntax(), Part.FIRST_LINE);
    }

    /** Returns the syntax of the fields behind the last chunk, up to the empty line. */
    static HeadSyntax ofTrailers() {
        return new HeadSyntax(null, Part.LINE_BEGIN);
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

    /** Returns whether the head or the trailers have ended, with an empty line. */
    boolean isWhole() {
        return part == Part.ENDED && !flawed;
    }

    /** Returns what is wrong with the bytes so far, if they are not sound. */
    String flaw() {
        if (secondLength) {
            return "a second " + CONTENT_LENGTH;
        }
        String place = part == Part.FIRST_LINE ? firstLine.place() : part.text;
        return "a byte that must not stand in the " + place;
    }

    private void read(int octet) {
        switch (part) {
            case FIRST_LINE -> readFirstLine(octet);
            case VALUE -> readText(octet);
            case LINE_END -> readLineFeed(octet, Part.LINE_BEGIN);
            case LINE_BEGIN -> readLineBegin(octet);
            case NAME -> readName(octet);
            case HEAD_END -> readLineFeed(octet, Part.ENDED);
            case ENDED -> throw new IllegalStateException("the head has ended");
        }
    }

    private void readFirstLine(int octet) {
        switch (firstLine.read(octet)) {
            case GOES_ON -> {}
            case CARRIAGE_RETURN -> part = Part.LINE_END;
            case ENDED -> part = Part.LINE_BEGIN;
            case FLAWED -> flawed = true;
        }
    }

    private void readText(int octet) {
        flawed = !endsLine(octet) && !Octets.isText(octet);
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
        flawed = !Octets.isTokenByte(octet);
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
}
