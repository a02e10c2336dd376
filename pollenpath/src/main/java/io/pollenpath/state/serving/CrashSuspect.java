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
 * common, or what several requests share, such as a part of their prompts. It is a truncated
 * digest, so it neither keeps nor reveals a body.
 *
 * @param high the first eight bytes of the digest; negative if several requests share the suspect
 * @param low the next eight bytes of the digest
 */
public record CrashSuspect(long high, long low) {

    /** The size of an encoded suspect, in bytes. */
    public static final int SIZE_BYTES = 2 * Long.BYTES;

    private static final long SHARED_BIT = Long.MIN_VALUE;
    private static final long PROMPT_PART_BIT = 1L << 62;
    private static final String PROMPT_PART = "prompt part";
    private static final String ANY_PROMPT = "any prompt";

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
        String prompt = String.join(",", promptParts);
        String head = String.join("\n", account, method, host, uri, prompt, "");
        CrashSuspect digest = digest(head, body);
        return new CrashSuspect(digest.high & ~SHARED_BIT, digest.low);
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
        CrashSuspect digest =
                digest(String.join("\n", ANY_PROMPT, account, method, host, uri, ""), body);
        return new CrashSuspect((digest.high | SHARED_BIT) & ~PROMPT_PART_BIT, digest.low);
    }

    /**
     * Identifies all requests with a part in their prompts.
     *
     * @param id the ID of the part, not null
     * @return the suspect
     */
    public static CrashSuspect ofPromptPart(String id) {
        Objects.requireNonNull(id, "id");
        CrashSuspect digest = digest(String.join("\n", PROMPT_PART, id), new byte[0]);
        return new CrashSuspect(digest.high | SHARED_BIT | PROMPT_PART_BIT, digest.low);
    }

    private static CrashSuspect digest(String head, byte[] body) {
        byte[] headBytes = head.getBytes(UTF_8);
        byte[] input = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, input, headBytes.length, body.length);
        return decode(Digests.sha256(input));
    }

    /**
     * Returns whether this suspect is what several requests share.
     *
     * @return false if it is one request
     */
    public boolean isShared() {
        return high < 0;
    }

    /**
     * Returns whether this suspect is a part of prompts.
     *
     * @return false if it is one request, or one with any prompt
     */
    public boolean isPromptPart() {
        return isShared() && (high & PROMPT_PART_BIT) != 0;
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
