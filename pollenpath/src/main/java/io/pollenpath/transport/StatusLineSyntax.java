package io.pollenpath.transport;

/**
 * Judges a status line (RFC 9112, section 4): the version, one blank, a status of three digits from
 * 100 to 599, and a reason or none. The blank before a missing reason may be missing too.
 */
final class StatusLineSyntax implements FirstLineSyntax {

    /** The begin of a status line: x stands for the minor version, nnn for the status. */
    private static final String BEGIN = "HTTP/1.x nnn";

    private static final int MINOR_VERSION_AT = BEGIN.indexOf('x');
    private static final int STATUS_AT = BEGIN.indexOf('n');

    private int bytes;

    @Override
    public Result read(int octet) {
        int offset = bytes;
        bytes++;
        if (offset < BEGIN.length()) {
            return mayStandAt(octet, offset) ? Result.GOES_ON : Result.FLAWED;
        }
        boolean goesOn = offset == BEGIN.length() ? octet == ' ' : Octets.isText(octet);
        return goesOn ? Result.GOES_ON : FirstLineSyntax.endOfLine(octet);
    }

    private static boolean mayStandAt(int octet, int offset) {
        if (offset == MINOR_VERSION_AT) {
            return octet == '0' || octet == '1';
        }
        if (offset == STATUS_AT) {
            return octet >= '1' && octet <= '5';
        }
        return offset > STATUS_AT ? Octets.isDigit(octet) : octet == BEGIN.charAt(offset);
    }

    @Override
    public String place() {
        if (bytes <= BEGIN.length()) {
            return "version or status";
        }
        return bytes == BEGIN.length() + 1 ? "status" : "reason";
    }
}
