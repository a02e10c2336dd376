package io.pollenpath.coordination.serving;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What one entry knows of the limit of a server, in the form in which entries exchange it.
 *
 * @param serverId the identity of the server, not null
 * @param perSecond the rate that the server takes from all entries together, in requests a second;
 *     empty if it names none any more
 * @param ageMs the time since the answer that said so, in milliseconds, not negative
 */
public record LimitReport(String serverId, OptionalDouble perSecond, long ageMs) {

    /** Checks the components. */
    public LimitReport {
        Objects.requireNonNull(serverId, "serverId");
        Objects.requireNonNull(perSecond, "perSecond");
        if (ageMs < 0) {
            throw new IllegalArgumentException("ageMs is " + ageMs + "; set it to at least 0");
        }
    }
}
