package io.pollenpath.state;

import java.util.Locale;

/**
 * The priority of a request in a queue: urgent requests are always served before others, and a
 * customer's normal requests before its batch requests.
 */
public enum PriorityClass {
    /** Alerts and proofs for which a person waits. */
    URGENT(0),
    /** Ordinary requests. */
    NORMAL(1),
    /** Work that may run whenever there is free capacity. */
    BATCH(2);

    private final int level;

    PriorityClass(int level) {
        this.level = level;
    }

    /**
     * Returns the number that stands for this class in messages between peers.
     *
     * @return 0 for the most urgent
     */
    public int level() {
        return level;
    }

    /**
     * Returns the class for a number in a message from a peer.
     *
     * @param level the number
     * @return the class; {@link #BATCH} for an unknown number
     */
    public static PriorityClass ofLevel(int level) {
        return switch (level) {
            case 0 -> URGENT;
            case 1 -> NORMAL;
            default -> BATCH;
        };
    }

    /**
     * Parses the name that declarations use.
     *
     * @param name {@code urgent}, {@code normal} or {@code batch}, in any case, not null
     * @return the class
     * @throws IllegalArgumentException if the name is none of these
     */
    public static PriorityClass parse(String name) {
        try {
            return valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "priority '" + name + "' is unknown; use urgent, normal or batch", e);
        }
    }
}
