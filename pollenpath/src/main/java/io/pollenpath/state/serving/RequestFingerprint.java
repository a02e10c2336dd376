package io.pollenpath.state.serving;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.pollenpath.util.Digests;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Objects;

/**
 * Identifies all attempts of one request: those with the same account, method, host, path, query
 * and body. It is a truncated digest, so it neither keeps nor reveals the body.
 *
 * @param high the first eight bytes of the digest
 * @param low the next eight bytes of the digest
 */
public record RequestFingerprint(long high, long low) {

    /** The size of an encoded fingerprint, in bytes. */
    public static final int SIZE_BYTES = 2 * Long.BYTES;

    /**
     * Computes the fingerprint of a request.
     *
     * @param account the name of the client account; empty string on public routes, not null
     * @param method the HTTP method, not null
     * @param host the host that the request names, not null
     * @param uri the path with its query, not null
     * @param body the complete body, not null
     * @return the fingerprint
     */
    public static RequestFingerprint of(
            String account, String method, String host, String uri, byte[] body) {
        Objects.requireNonNull(body, "body");
        String target = String.join("\n", account, method, host, uri, "");
        byte[] head = target.getBytes(UTF_8);
        byte[] input = new byte[head.length + body.length];
        System.arraycopy(head, 0, input, 0, head.length);
        System.arraycopy(body, 0, input, head.length, body.length);
        return decode(Digests.sha256(input));
    }

    /**
     * Decodes a fingerprint.
     *
     * @param bytes the encoded fingerprint; bytes after the first {@link #SIZE_BYTES} are ignored,
     *     not null
     * @return the fingerprint
     * @throws IllegalArgumentException if there are fewer bytes
     */
    public static RequestFingerprint decode(byte[] bytes) {
        if (bytes.length < SIZE_BYTES) {
            throw new IllegalArgumentException(
                    "a fingerprint has " + bytes.length + " bytes; send " + SIZE_BYTES);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RequestFingerprint(buffer.getLong(), buffer.getLong());
    }

    /**
     * Encodes this fingerprint.
     *
     * @return {@link #SIZE_BYTES} bytes
     */
    public byte[] encode() {
        return ByteBuffer.allocate(SIZE_BYTES).putLong(high).putLong(low).array();
    }

    /**
     * Returns the fingerprint for log lines.
     *
     * @return 32 lower-case hexadecimal digits
     */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(encode());
    }
}
