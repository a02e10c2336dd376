package io.pollenpath.util;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests and compares them in constant time. */
public final class Digests {

    private Digests() {}

    /**
     * Computes the SHA-256 digest of bytes.
     *
     * @param bytes the input, not null
     * @return 32 bytes
     */
    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "this Java runtime does not support SHA-256; use one that does", e);
        }
    }

    /**
     * Computes the SHA-256 digest of the UTF-8 encoding of a text.
     *
     * @param text the input, not null
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256Hex(String text) {
        return HexFormat.of().formatHex(sha256(text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Computes a 64-bit hash of the UTF-8 encoding of a text, for hashing to slots and caches.
     *
     * @param text the input, not null
     * @return the first eight bytes of the SHA-256 digest, big-endian
     */
    public static long hash64(String text) {
        byte[] digest = sha256(text.getBytes(StandardCharsets.UTF_8));
        long value = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            value = (value << Byte.SIZE) | (digest[i] & 0xff);
        }
        return value;
    }

    /**
     * Compares two texts in a time that does not depend on where they differ.
     *
     * @param a one text, not null
     * @param b the other text, not null
     * @return true if they are equal
     */
    public static boolean constantTimeEquals(String a, String b) {
        return MessageDigest.isEqual(
                a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
    }
}
