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
    private static final Pattern INTERIM = Pattern.compile("HTTP/1\\.\\d 1\\d\\d\\s");
    private static final Pattern EMPTY_LINE = Pattern.compile("\n\r?\n");
    private static final int NOWHERE = -1;

    private static final Pattern STATUS_AT_END = Pattern.compile("HTTP/[0-9.]+ [+-]?\\d+ ?$");

    /** A status and a version that are longer are none that a server writes. */
    private static final int MAX_SHOWN_BYTES = 64;

    private final HeadForm form;
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

    private EmbeddedHead(HeadForm form, Predicate<String> isKnownId) {
        this.form = form;
        this.isKnownId = isKnownId;
    }

    /**
     * Finds the heads in a body, which may end before the last head does.
     *
     * @param body the body, not null
     * @param isKnownId whether an ID is that of a request, not null
     */
    static Finding find(byte[] body, Predicate<String> isKnownId) {
        return find(HeadForm.HTTP_1, body, isKnownId);
    }

    /** Finds the heads of a form in a body, which may end before the last head does. */
    static Finding find(HeadForm form, byte[] body, Predicate<String> isKnownId) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        EmbeddedHead head = new EmbeddedHead(form, isKnownId);
        if (text.contains(form.version())) {
            head.readLines(text);
        } else {
            head.openAt = head.beginOfVersion(text);
        }
        return new Finding(head.whole, head.named, head.openAt, head.statusOpen);
    }

    /** Returns whether bytes look like a head that may go on, or like whole heads and then one. */
    static boolean isBegun(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        String last = text.substring(lastEmptyLineIn(text));
        return isFirstLineBegun(text) && isFirstLineBegun(last);
    }

    /**
     * Returns whether bytes end with a version and a blank, or with more than one letter of a
     * version right behind a status. Text that speaks of a version ends otherwise.
     */
    static boolean endsWithVersion(byte[] bytes) {
        int start = Math.max(0, bytes.length - MAX_SHOWN_BYTES);
        String text = new String(bytes, start, bytes.length - start, StandardCharsets.ISO_8859_1);
        int at = text.lastIndexOf(VERSION.charAt(0));
        if (at < 0 || !isVersionBegin(HeadForm.LIKE_HTTP, text.substring(at))) {
            return false;
        }
        boolean hasBlank = text.indexOf(' ', at) >= 0;
        boolean isLetter = at == text.length() - 1;
        return hasBlank || (!isLetter && STATUS_AT_END.matcher(text.substring(0, at)).find());
    }

    private static boolean isFirstLineBegun(String text) {
        String line = text.lines().findFirst().orElse("");
        return !line.isEmpty()
                && (isVersionBegin(HeadForm.LIKE_HTTP, line)
                        || HeadForm.LIKE_HTTP.statusBegin().matcher(line).lookingAt());
    }

    /** Returns where the last empty line ends behind which there is text; 0 if there is none. */
    private static int lastEmptyLineIn(String text) {
        Matcher emptyLine = EMPTY_LINE.matcher(text);
        int start = 0;
        while (emptyLine.find() && emptyLine.end() < text.length()) {
            start = emptyLine.end();
        }
        return start;
    }

    /** Returns whether a line holds what may be the version of an answer. */
    static boolean holdsVersion(String line) {
        return line.contains(HeadForm.LIKE_HTTP.version());
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
        int status = lastMatch(form.status(), withoutReturn(line));
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
        int status = lastMatch(form.statusBegin(), withoutReturn(line));
        if (status != NOWHERE) {
            open(start + status);
            statusOpen = isStatusAtEnd(line.substring(status));
        } else if (openAt != NOWHERE && line.indexOf(':') > 0) {
            readField(line);
        } else if (openAt == NOWHERE || !form.fieldBegin().matcher(withoutReturn(line)).matches()) {
            int begin = beginOfVersion(line);
            openAt = begin == NOWHERE ? NOWHERE : start + begin;
            statusOpen = false;
        }
    }

    private boolean isStatusAtEnd(String text) {
        return form.statusAtEnd().matcher(withoutReturn(text)).matches();
    }

    private void open(int at) {
        openAt = at;
        hasFields = false;
        statusOpen = true;
    }

    private static String withoutReturn(String line) {
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    private int lastMatch(Pattern pattern, String line) {
        if (!line.contains(form.version())) {
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
    private int beginOfVersion(String text) {
        int at = text.lastIndexOf('H');
        return at >= 0 && isVersionBegin(form, text.substring(at)) ? at : NOWHERE;
    }

    private static boolean isVersionBegin(HeadForm form, String text) {
        return form.version().startsWith(text) || form.versionAtEnd().matcher(text).matches();
    }
}
