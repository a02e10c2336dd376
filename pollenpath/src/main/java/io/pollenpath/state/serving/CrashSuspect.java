package io.pollenpath.state.serving;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.pollenpath.util.Digests;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;

/**
 * Something that may crash the servers that work on it: one request, which all its attempts have in
 * common, its content, whoever sends it, or what several different requests share, such as a part
 * of their prompts. It is a truncated digest, so it neither keeps nor reveals a body.
 *
 * @param high the first eight bytes of the digest, whose first bits name the kind; negative if
 *     different requests share the suspect
 * @param low the next eight bytes of the digest
 */
public record CrashSuspect(long high, long low) {

    /** The size of an encoded suspect, in bytes. */
    public static final int SIZE_BYTES = 2 * Long.BYTES;

    private static final byte[] NO_BYTES = new byte[0];
    private static final long SHARED_BIT = Long.MIN_VALUE;
    private static final long SECOND_BIT = 1L << 62;
    private static final long THIRD_BIT = 1L << 61;
    private static final long KIND_BITS = SHARED_BIT | SECOND_BIT | THIRD_BIT;

    /** The kinds of suspects, from what one request is to what many requests have in common. */
    public enum Kind {
        /** All attempts of one request of one account. */
        REQUEST(0),
        /** All requests with the same content, whichever account sends them. */
        CONTENT(SECOND_BIT),
        /** All requests of one account that differ in nothing but their prompts. */
        ANY_PROMPT(SHARED_BIT),
        /** All requests to one path, whatever they are and whoever sends them. */
        PATH(SHARED_BIT | THIRD_BIT),
        /** All requests with one part in their prompts. */
        PROMPT_PART(SHARED_BIT | SECOND_BIT);

        private final long bits;

        Kind(long bits) {
            this.bits = bits;
        }
    }

    /**
     * Identifies all attempts of one request: those with the same account, method, host, path,
     * query, prompt and body.
     *
     * @param account the name of the client account; empty string on public routes, not null
     * @param method the HTTP method, not null
     * @param host the host that the request names, not null
     * @param uri the path with its query, not null
     * @param promptParts the IDs of all parts of the prompt; empty if there is none, not null
     * @param body the complete body, not null
     * @return the suspect
     */
    public static CrashSuspect ofRequest(
            String account,
            String method,
            String host,
            String uri,
            List<String> promptParts,
            byte[] body) {
        Objects.requireNonNull(body, "body");
        CrashSuspect content = ofContent(method, host, uri, promptParts, body);
        return digest(Kind.REQUEST, content.encode(), account);
    }

    /**
     * Identifies all requests with the same method, host, path, query, prompt and body, whichever
     * account sends them.
     *
     * @param method the HTTP method, not null
     * @param host the host that the requests name, not null
     * @param uri the path with its query, not null
     * @param promptParts the IDs of all parts of the prompt; empty if there is none, not null
     * @param body the complete body, not null
     * @return the suspect
     */
    public static CrashSuspect ofContent(
            String method, String host, String uri, List<String> promptParts, byte[] body) {
        Objects.requireNonNull(body, "body");
        String prompt = String.join(",", promptParts);
        return digest(Kind.CONTENT, body, method, host, uri, prompt);
    }

    /**
     * Identifies all requests with the same method, host and path, whatever else they hold.
     *
     * @param method the HTTP method, not null
     * @param host the host that the requests name, not null
     * @param path the path without its query, not null
     * @return the suspect
     */
    public static CrashSuspect ofPath(String method, String host, String path) {
        return digest(Kind.PATH, NO_BYTES, method, host, path);
    }

    /**
     * Identifies all requests with the same account, method, host, path, query and body, whatever
     * their prompts are.
     *
     * @param account the name of the client account; empty string on public routes, not null
     * @param method the HTTP method, not null
     * @param host the host that the requests name, not null
     * @param uri the path with its query, not null
     * @param body the complete body, not null
     * @return the suspect
     */
    public static CrashSuspect ofAnyPrompt(
            String account, String method, String host, String uri, byte[] body) {
        Objects.requireNonNull(body, "body");
        return digest(Kind.ANY_PROMPT, body, account, method, host, uri);
    }

    /**
     * Identifies all requests with a part in their prompts.
     *
     * @param id the ID of the part, not null
     * @return the suspect
     */
    public static CrashSuspect ofPromptPart(String id) {
        Objects.requireNonNull(id, "id");
        return digest(Kind.PROMPT_PART, NO_BYTES, id);
    }

    private static CrashSuspect digest(Kind kind, byte[] body, String... lines) {
        byte[] headBytes = (kind + "\n" + String.join("\n", lines) + "\n").getBytes(UTF_8);
        byte[] input = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, input, headBytes.length, body.length);
        CrashSuspect digest = decode(Digests.sha256(input));
        return new CrashSuspect((digest.high & ~KIND_BITS) | kind.bits, digest.low);
    }

    /**
     * Returns the kind of this suspect.
     *
     * @return the kind
     */
    public Kind kind() {
        boolean second = (high & SECOND_BIT) != 0;
        if (!isShared()) {
            return second ? Kind.CONTENT : Kind.REQUEST;
        }
        if (second) {
            return Kind.PROMPT_PART;
        }
        return (high & THIRD_BIT) != 0 ? Kind.PATH : Kind.ANY_PROMPT;
    }

    /**
     * Returns whether this suspect is what different requests share.
     *
     * @return false if it is one request or the whole content of requests
     */
    public boolean isShared() {
        return high < 0;
    }

    /**
     * Decodes a suspect.
     *
     * @param bytes the encoded suspect; bytes after the first {@link #SIZE_BYTES} are ignored, not
     *     null
     * @return the suspect
     * @throws IllegalArgumentException if there are fewer bytes
     */
    public static CrashSuspect decode(byte[] bytes) {
        if (bytes.length < SIZE_BYTES) {
            throw new IllegalArgumentException(
                    "a suspect has " + bytes.length + " bytes; send " + SIZE_BYTES);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new CrashSuspect(buffer.getLong(), buffer.getLong());
    }

    /**
     * Encodes this suspect.
     *
     * @return {@link #SIZE_BYTES} bytes
     */
    public byte[] encode() {
        return ByteBuffer.allocate(SIZE_BYTES).putLong(high).putLong(low).array();
    }

    /**
     * Returns the suspect for log lines.
     *
     * @return 32 lower-case hexadecimal digits
     */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(encode());
    }
}
