package io.pollenpath.util;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Parses JSON documents to which other writers have added. A value that is nested too deeply or a
 * number that is too long counts as null, and a byte that is no text as the replacement character,
 * so that the rest of the document can be read.
 */
public final class LenientJson {

    /** Values below this depth count as null. */
    static final int MAX_DEPTH = 64;

    /** Longer numbers count as null. */
    static final int MAX_NUMBER_CHARS = 100;

    private static final int MAX_TEXT_CHARS = 16_777_216;
    private static final String NULL = "null";
    private static final String NUMBER_CHARS = "0123456789+-.eE";

    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_DEPTH)
                                                    .maxNumberLength(MAX_NUMBER_CHARS)
                                                    .maxStringLength(MAX_TEXT_CHARS)
                                                    .maxNameLength(MAX_TEXT_CHARS)
                                                    .build())
                                    .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
                                    .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final String text;
    private final StringBuilder readable;
    private int depth;

    private LenientJson(String text) {
        this.text = text;
        readable = new StringBuilder(text.length());
    }

    /**
     * Parses a JSON document.
     *
     * @param bytes the document, not null
     * @return the root node; a missing node for an empty input
     * @throws IllegalArgumentException if the document is not JSON even without the values that
     *     can't be read
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            return parseReadable(new String(bytes, StandardCharsets.UTF_8));
        }
    }

    private static JsonNode parseReadable(String text) {
        try {
            return MAPPER.readTree(new LenientJson(text).readablePart());
        } catch (IOException e) {
            throw new IllegalArgumentException("the input is not a well-formed JSON document", e);
        }
    }

    /** Copies the document with null in place of each value that can't be read. */
    private String readablePart() {
        int position = 0;
        while (position < text.length()) {
            position = copyToken(position);
        }
        return readable.toString();
    }

    /** Copies the token at a position; returns the position after it. */
    private int copyToken(int start) {
        char first = text.charAt(start);
        int end = start + 1;
        if (first == '{' || first == '[') {
            depth++;
            copy(depth == MAX_DEPTH + 1 ? NULL : text.substring(start, end), MAX_DEPTH + 1);
        } else if (first == '}' || first == ']') {
            copy(text.substring(start, end), MAX_DEPTH);
            depth--;
        } else if (first == '"') {
            end = endOfString(start);
            copy(text.substring(start, end), MAX_DEPTH);
        } else if (first == '-' || Character.isDigit(first)) {
            end = endOfNumber(start);
            boolean tooLong = end - start > MAX_NUMBER_CHARS;
            copy(tooLong ? NULL : text.substring(start, end), MAX_DEPTH);
        } else {
            copy(text.substring(start, end), MAX_DEPTH);
        }
        return end;
    }

    private void copy(String token, int deepest) {
        if (depth <= deepest) {
            readable.append(token);
        }
    }

    private int endOfString(int start) {
        int end = start + 1;
        while (end < text.length() && text.charAt(end) != '"') {
            end += text.charAt(end) == '\\' ? 2 : 1;
        }
        return Math.min(end + 1, text.length());
    }

    private int endOfNumber(int start) {
        int end = start + 1;
        while (end < text.length() && NUMBER_CHARS.indexOf(text.charAt(end)) >= 0) {
            end++;
        }
        return end;
    }
}
