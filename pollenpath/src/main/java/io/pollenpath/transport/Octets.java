package io.pollenpath.transport;

/**
 * Tells which bytes may stand in the parts of a head (RFC 9110, section 5; RFC 9112, section 3).
 */
final class Octets {

    /** The bytes besides letters and digits that may stand in a token. */
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    private static final int DELETE = 0x7f;

    private Octets() {}

    /** Returns whether a byte may stand in a method or in the name of a field. */
    static boolean isTokenByte(int octet) {
        return isDigit(octet) || isLetter(octet) || TOKEN_MARKS.indexOf(octet) >= 0;
    }

    /** Returns whether a byte may stand in a reason or a value; those above 0x7f may. */
    static boolean isText(int octet) {
        return octet == '\t' || (octet >= ' ' && octet != DELETE);
    }

    /** Returns whether a byte may stand in a target: one that is seen and is ASCII. */
    static boolean isVisible(int octet) {
        return octet > ' ' && octet < DELETE;
    }

    static boolean isDigit(int octet) {
        return octet >= '0' && octet <= '9';
    }

    private static boolean isLetter(int octet) {
        return (octet >= 'a' && octet <= 'z') || (octet >= 'A' && octet <= 'Z');
    }
}
