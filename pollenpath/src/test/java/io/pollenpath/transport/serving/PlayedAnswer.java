package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;

/**
 * An answer that a server begins.
 *
 * @param name what it shows
 * @param method the method of its request
 * @param head its head
 * @param rest the bytes behind its head
 * @param body the body that these bytes hold
 */
record PlayedAnswer(String name, HttpMethod method, String head, String rest, String body) {

    static final String STATUS = "HTTP/1.1 200 OK\r\n";
    static final String LENGTH = "Content-Length: %d\r\n";
    static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    static final String STREAM = "Content-Type: text/event-stream\r\n";

    /** The body of the answers that are no streams. */
    static final String TEXT =
            "The letter that was asked for has many lines, and this is one of them.\n".repeat(6);

    private static final String EVENTS =
            "id: 1\ndata: a\n\nid: 2\ndata: bc\n\n" + "id: 3\ndata: def\ndata: g\n\n".repeat(8);

    static PlayedAnswer of(String name, String fields, String rest, String body) {
        return new PlayedAnswer(name, HttpMethod.GET, headWith(fields), rest, body);
    }

    String bytes() {
        return head + rest;
    }

    @Override
    public String toString() {
        return name;
    }

    static String headWith(String fields) {
        String own = "Request-Id: r\r\nUpstream-Signature: " + PlayedConnection.PROOF + "\r\n";
        return STATUS + own + fields + "\r\n";
    }

    private static String chunk(String extension, String data) {
        return Integer.toHexString(data.length()) + extension + "\r\n" + data + "\r\n";
    }

    static String chunks(String extension, String body) {
        int half = body.length() / 8;
        String first = chunk(extension, body.substring(0, half));
        return first + chunk(extension, body.substring(half)) + "0" + extension + "\r\n";
    }

    static PlayedAnswer withLength(String name, String type, String body) {
        return PlayedAnswer.of(name, type + LENGTH.formatted(body.length()), body, body);
    }

    /** Returns an answer for each way to mark an end, plain and as a stream. */
    static List<PlayedAnswer> all() {
        List<PlayedAnswer> firsts = new ArrayList<>();
        firsts.add(withLength("length", "", TEXT));
        firsts.add(withLength("length, closed", "Connection: close\r\n", TEXT));
        firsts.add(PlayedAnswer.of("no length", "", TEXT, TEXT));
        firsts.add(PlayedAnswer.of("chunks", CHUNKED, chunks("", TEXT) + "\r\n", TEXT));
        firsts.add(PlayedAnswer.of("extensions", CHUNKED, chunks(";a=b", TEXT) + "\r\n", TEXT));
        firsts.add(PlayedAnswer.of("blanks", CHUNKED, chunks("  ", TEXT) + "\r\n", TEXT));
        String trailers = chunks("", TEXT) + "Check: a1b2\r\nMore: x\r\n\r\n";
        firsts.add(PlayedAnswer.of("trailers", CHUNKED, trailers, TEXT));
        for (String line : List.of("\n", "\r\n")) {
            String events = EVENTS.replace("\n", line);
            String name = line.equals("\n") ? "events, LF" : "events, CRLF";
            firsts.add(withLength(name + ", length", STREAM, events));
            String inChunks = chunks("", events) + "\r\n";
            firsts.add(PlayedAnswer.of(name + ", chunks", STREAM + CHUNKED, inChunks, events));
            firsts.add(PlayedAnswer.of(name + ", no length", STREAM, events, events));
        }
        return firsts;
    }
}
