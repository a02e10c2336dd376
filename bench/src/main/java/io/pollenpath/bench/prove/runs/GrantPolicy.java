package io.pollenpath.bench.prove.runs;

import java.util.Locale;

/** A way to decide which executor may run a request. */
public enum GrantPolicy {
    /** Each request has a claim object in the platform's store. */
    CLAIMS,
    /** Keys are divided into slots; the entry that owns a slot grants its claims in memory. */
    SLOTS;

    /**
     * Returns the name used in reports.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
