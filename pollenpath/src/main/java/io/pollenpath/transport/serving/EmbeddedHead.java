package io.pollenpath.transport.serving;

import io.pollenpath.transport.StatusLine;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the heads of HTTP answers within the bytes of a body. A server that answers twice writes
 * its second answer where the body of the first one goes on, if only the end of the connection ends
 * that body, or if it has stopped within a body or chunk whose length it has named. The work grows
 * with the length of the body, whatever its bytes are.
 */
final class EmbeddedHead {

    private static final String VERSION = StatusLine.VERSION;

    /** A status line up to the first digit of its status. */
    private static final Pattern STATUS_BEGIN = Pattern.compile("HTTP/1\\.\\d \\d");

    /** The words of a status are few and plain; text that goes on otherwise only names one. */
    private static final Pattern STATUS_AT_END =
            Pattern.compile("HTTP/1\\.\\d \\d{1,3}( [A-Za-z0-9 '()./-]{0,64})?");

    private static final Pattern FIELD_BEGIN = Pattern.compile("[!-9;-~]*");
    private static final Pattern VERSION_AT_END = Pattern.compile("HTTP/1\\.\\d ?");
    private static final Pattern INTERIM = Pattern.compile("HTTP/1\\.\\d 1\\d\\d\\s");
    private static final Pattern EMPTY_LINE = Pattern.compile("\n\r?\n");
    private static final int NOWHERE = -1;

    private final Predicate<String> isKnownId;
    private boolean whole;
    private boolean named;
    private boolean hasFields;
    private int openAt = NOWHERE;
    private boolean statusOpen;

    /**
     * What was found.
     *
     * @param whole whether a status line, fields and an empty line follow each other
     * @param named whether a field of a head names a known request
     * @param openAt where the head begins within which the bytes end, or with which they end; -1 if
     *     they end within none
     * @param statusOpen whether that head has a status, or at least its first digit, and no text
     *     that only names a status
     */
    record Finding(boolean whole, boolean named, int openAt, boolean statusOpen) {

        /** Returns whether the bytes end within a head or with one. */
        boolean isOpen() {
            return openAt != NOWHERE;
        }

        /** Returns whether the bytes in which this was found end with an interim answer. */
        boolean endsWithInterim(byte[] bytes) {
            return isOpen() && isInterim(Arrays.copyOfRange(bytes, openAt, bytes.length));
        }
    }

    /** What bytes are that begin like a head. */
    enum Begin {
        /** A head, or its begin with the whole status. */
        HEAD,
        /** So few bytes that they may become a head. */
        SHORT,
        /** No head. */
        OTHER
    }

    private EmbeddedHead(Predicate<String> isKnownId) {
        this.isKnownId = isKnownId;
    }

    /**
     * Finds the heads in a body, which may end before the last head does.
     *
     * @param body the body, not null
     * @param isKnownId whether an ID is that of a request, not null
     */
    static Finding find(byte[] body, Predicate<String> isKnownId) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        EmbeddedHead head = new EmbeddedHead(isKnownId);
        if (text.contains(VERSION)) {
            head.readLines(text);
        } else {
            head.openAt = beginOfVersion(text);
        }
        return new Finding(head.whole, head.named, head.openAt, head.statusOpen);
    }

    /**
     * Tells what the head is within which an offset lies. Another head may begin before the offset
     * in the same lines, and whole heads may come before it.
     */
    static Begin around(byte[] bytes, int offset) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int start = lastEmptyLineBefore(text, offset);
        Matcher emptyLine = EMPTY_LINE.matcher(text).region(start, text.length());
        String head = text.substring(start, emptyLine.find() ? emptyLine.start() : text.length());
        int openAt = find(head.getBytes(StandardCharsets.ISO_8859_1), id -> false).openAt();
        if (openAt < 0 || start + openAt >= offset) {
            return Begin.OTHER;
        }
        String status = head.substring(openAt).lines().findFirst().orElse("");
        return StatusLine.PATTERN.matcher(status).lookingAt() ? Begin.HEAD : Begin.SHORT;
    }

    /** Returns whether bytes are a head that may go on behind them, or whole heads and then one. */
    static boolean isBegun(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        String last = text.substring(lastEmptyLineBefore(text, text.length()));
        byte[] lastBytes = last.getBytes(StandardCharsets.ISO_8859_1);
        return mayBegin(bytes) && find(lastBytes, id -> false).openAt() == 0;
    }

    /** Returns where the last empty line ends that ends before an offset; 0 if there is none. */
    private static int lastEmptyLineBefore(String text, int offset) {
        Matcher emptyLine = EMPTY_LINE.matcher(text);
        int start = 0;
        while (emptyLine.find() && emptyLine.end() < offset) {
            start = emptyLine.end();
        }
        return start;
    }

    /** Returns whether a line holds the version of an answer. */
    static boolean holdsVersion(String line) {
        return line.contains(VERSION);
    }

    /** Returns whether bytes begin as an answer does, as far as they go. */
    static boolean mayBegin(byte[] bytes) {
        int count = Math.min(bytes.length, VERSION.length());
        String first = new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
        return VERSION.startsWith(first);
    }

    /** Returns whether bytes begin with the version of an answer. */
    static boolean hasVersion(byte[] bytes) {
        return bytes.length >= VERSION.length() && mayBegin(bytes);
    }

    /** Returns whether bytes are the whole head of an interim answer, which another one follows. */
    static boolean isInterim(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        return INTERIM.matcher(text).lookingAt() && isEmptyLineAtEnd(text);
    }

    private void readLines(String text) {
        int start = 0;
        int headAtEnd = NOWHERE;
        for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', start)) {
            headAtEnd = openAt;
            readLine(text.substring(start, end), start);
            start = end + 1;
        }
        if (start < text.length()) {
            readLastLine(text.substring(start), start);
        } else if (openAt == NOWHERE && isEmptyLineAtEnd(text)) {
            openAt = headAtEnd;
        }
    }

    private static boolean isEmptyLineAtEnd(String text) {
        return text.endsWith("\n\r\n") || text.endsWith("\n\n");
    }

    private void readLine(String line, int start) {
        if (line.isEmpty() || line.equals("\r")) {
            whole |= openAt != NOWHERE && hasFields;
            openAt = NOWHERE;
            return;
        }
        int status = lastMatch(StatusLine.PATTERN, withoutReturn(line));
        if (status != NOWHERE) {
            open(start + status);
        } else {
            readField(line);
        }
    }

    private void readField(String line) {
        int colon = line.indexOf(':');
        if (openAt == NOWHERE || colon <= 0) {
            openAt = NOWHERE;
            return;
        }
        hasFields = true;
        named |= isKnownId.test(line.substring(colon + 1).trim());
    }

    private void readLastLine(String line, int start) {
        int status = lastMatch(STATUS_BEGIN, withoutReturn(line));
        if (status != NOWHERE) {
            open(start + status);
            statusOpen = isStatusAtEnd(line.substring(status));
        } else if (openAt != NOWHERE && line.indexOf(':') > 0) {
            readField(line);
        } else if (openAt == NOWHERE || !FIELD_BEGIN.matcher(withoutReturn(line)).matches()) {
            int begin = beginOfVersion(line);
            openAt = begin == NOWHERE ? NOWHERE : start + begin;
            statusOpen = false;
        }
    }

    private static boolean isStatusAtEnd(String text) {
        return STATUS_AT_END.matcher(withoutReturn(text)).matches();
    }

    private void open(int at) {
        openAt = at;
        hasFields = false;
        statusOpen = true;
    }

    private static String withoutReturn(String line) {
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    private static int lastMatch(Pattern pattern, String line) {
        if (!line.contains(VERSION)) {
            return NOWHERE;
        }
        Matcher matcher = pattern.matcher(line);
        int last = NOWHERE;
        while (matcher.find()) {
            last = matcher.start();
        }
        return last;
    }

    /** Returns where the begin of a version stands at the end of a text; -1 if there is none. */
    private static int beginOfVersion(String text) {
        int at = text.lastIndexOf('H');
        return at >= 0 && isVersionBegin(text.substring(at)) ? at : NOWHERE;
    }

    private static boolean isVersionBegin(String text) {
        return VERSION.startsWith(text) || VERSION_AT_END.matcher(text).matches();
    }
}
