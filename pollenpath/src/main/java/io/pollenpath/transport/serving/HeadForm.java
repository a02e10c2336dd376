package io.pollenpath.transport.serving;

import io.pollenpath.transport.StatusLine;
import java.util.regex.Pattern;

/**
 * How the head of an answer looks within other bytes.
 *
 * @param version with what each head begins
 * @param versionAtEnd a version, or the begin of one, that ends the bytes
 * @param statusBegin the first line up to the first digit of the status
 * @param status the first line up to the blank behind the status, or to its end
 * @param statusAtEnd a first line that ends the bytes. The words of a status are few and plain;
 *     text that goes on otherwise only names one.
 * @param fieldBegin the begin of a field that ends the bytes
 */
record HeadForm(
        String version,
        Pattern versionAtEnd,
        Pattern statusBegin,
        Pattern status,
        Pattern statusAtEnd,
        Pattern fieldBegin) {

    /** A head that HTTP/1 knows. */
    static final HeadForm HTTP_1 =
            new HeadForm(
                    StatusLine.VERSION,
                    Pattern.compile("HTTP/1\\.\\d ?"),
                    Pattern.compile("HTTP/1\\.\\d \\d"),
                    StatusLine.PATTERN,
                    Pattern.compile("HTTP/1\\.\\d \\d{1,3}( [A-Za-z0-9 '()./-]{0,64})?"),
                    Pattern.compile("[!-9;-~]*"));

    /** A head of any version and with any number, as a server in trouble may write it. */
    static final HeadForm LIKE_HTTP =
            new HeadForm(
                    "HTTP/",
                    Pattern.compile("HTTP/[0-9.]* ?[+-]?"),
                    Pattern.compile("HTTP/[0-9.]+ [+-]?\\d"),
                    Pattern.compile("HTTP/[0-9.]+ [+-]?\\d+( |$)"),
                    Pattern.compile("HTTP/[0-9.]+ [+-]?\\d+( [A-Za-z0-9 '()./-]{0,64})?"),
                    Pattern.compile("[!-9;-~]*"));
}
