package io.pollenpath.transport;

import java.util.Objects;

/**
 * The IP address and port on which an HTTP server or a peer listens.
 *
 * @param host the IP address, not empty
 * @param port the port, 1 to 65535
 */
public record HttpAddress(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Creates an address.
     *
     * @throws IllegalArgumentException if the host is empty or the port is out of range
     */
    public HttpAddress {
        Objects.requireNonNull(host, "host");
        if (host.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "address '" + host + ":" + port + "' is not valid; write it as IP:port");
        }
    }

    /**
     * Parses an address of the form {@code IP:port}.
     *
     * @param text the text, not null
     * @return the address
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static HttpAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(
                    "address '" + text + "' is not valid; write it as IP:port");
        }
        try {
            return new HttpAddress(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "address '" + text + "' is not valid; write it as IP:port", e);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
