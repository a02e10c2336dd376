package io.pollenpath.transport;

/** Judges the first line of a message byte by byte. */
interface FirstLineSyntax {

    /** What a byte means for the line. */
    enum Result {
        /** The line goes on. */
        GOES_ON,
        /** A line feed must follow, with which the line ends. */
        CARRIAGE_RETURN,
        /** The line has ended. */
        ENDED,
        /** The byte must not stand where it does. */
        FLAWED
    }

    /**
     * Reads the next byte.
     *
     * @param octet the byte, from 0 to 255
     * @return what it means
     */
    Result read(int octet);

    /**
     * Returns the part of the line that was read last, as messages name it.
     *
     * @return the name
     */
    String place();

    /**
     * Returns what a byte means that may end the line.
     *
     * @param octet the byte, from 0 to 255
     * @return {@link Result#FLAWED} if it does not
     */
    static Result endOfLine(int octet) {
        return switch (octet) {
            case '\r' -> Result.CARRIAGE_RETURN;
            case '\n' -> Result.ENDED;
            default -> Result.FLAWED;
        };
    }
}
