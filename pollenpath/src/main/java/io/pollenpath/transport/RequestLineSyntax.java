package io.pollenpath.transport;

/**
 * Judges a request line (RFC 9112, section 3): a method, one blank, a target, one blank and the
 * version. Empty lines may come before it (section 2.2). Whether the version is a known one is not
 * judged.
 */
final class RequestLineSyntax implements FirstLineSyntax {

    /** The version: n stands for a digit. */
    private static final String VERSION = "HTTP/n.n";

    /** The parts of the line, and how a message names them. */
    private enum Part {
        EMPTY_LINE("begin of the request line"),
        EMPTY_LINE_END("empty line"),
        METHOD("method"),
        TARGET_BEGIN("target"),
        TARGET("target"),
        VERSION("version");

        private final String text;

        Part(String text) {
            this.text = text;
        }
    }

    private Part part = Part.EMPTY_LINE;
    private int versionBytes;

    @Override
    public Result read(int octet) {
        return switch (part) {
            case EMPTY_LINE -> readBegin(octet);
            case EMPTY_LINE_END -> goOn(octet == '\n', Part.EMPTY_LINE);
            case METHOD ->
                    octet == ' '
                            ? goOn(true, Part.TARGET_BEGIN)
                            : goOn(Octets.isTokenByte(octet), Part.METHOD);
            case TARGET_BEGIN -> goOn(Octets.isVisible(octet), Part.TARGET);
            case TARGET ->
                    octet == ' '
                            ? goOn(true, Part.VERSION)
                            : goOn(Octets.isVisible(octet), Part.TARGET);
            case VERSION -> readVersion(octet);
        };
    }

    private Result readBegin(int octet) {
        return switch (octet) {
            case '\r' -> goOn(true, Part.EMPTY_LINE_END);
            case '\n' -> goOn(true, Part.EMPTY_LINE);
            default -> goOn(Octets.isTokenByte(octet), Part.METHOD);
        };
    }

    private Result goOn(boolean sound, Part next) {
        if (!sound) {
            return Result.FLAWED;
        }
        part = next;
        return Result.GOES_ON;
    }

    private Result readVersion(int octet) {
        if (versionBytes == VERSION.length()) {
            return FirstLineSyntax.endOfLine(octet);
        }
        char expected = VERSION.charAt(versionBytes);
        versionBytes++;
        boolean sound = expected == 'n' ? Octets.isDigit(octet) : octet == expected;
        return goOn(sound, Part.VERSION);
    }

    @Override
    public String place() {
        return part.text;
    }
}
