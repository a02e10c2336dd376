package io.pollenpath.state.serving;

import java.util.Objects;

/**
 * A running entry.
 *
 * @param name the name of its VM, not null
 * @param address the IP address and port at which it receives calls of other entries, separated by
 *     a colon; empty string if it receives none, not null
 */
public record EntryInstance(String name, String address) {

    /** Checks the components. */
    public EntryInstance {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
    }
}
