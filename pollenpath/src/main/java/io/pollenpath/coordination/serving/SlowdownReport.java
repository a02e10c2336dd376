package io.pollenpath.coordination.serving;

import java.util.Objects;

/**
 * How slow a server is, as the agent beside it tells the entries.
 *
 * @param address the address of the server, IP:port, not null
 * @param factor how many times longer the server takes for its work than usual, above 0
 */
public record SlowdownReport(String address, double factor) {

    /** Checks the components. */
    public SlowdownReport {
        Objects.requireNonNull(address, "address");
        if (!(factor > 0 && Double.isFinite(factor))) {
            throw new IllegalArgumentException(
                    "the slowdown is " + factor + "; report a number above 0, 1 if usual");
        }
    }
}
