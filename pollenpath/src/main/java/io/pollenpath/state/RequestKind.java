package io.pollenpath.state;

import java.util.Objects;

/**
 * The terms of a contract for one kind of request.
 *
 * @param name the name that a caller gives in {@code Pollenpath-Kind}, not null
 * @param priority the priority class in which it is queued, not null
 * @param repeatable whether it is idempotent, so that it may be run more than once
 * @param deadlineMs the maximum time until its answer is complete, in milliseconds, from 1 to
 *     {@link #MAX_DEADLINE_MS}
 */
public record RequestKind(String name, PriorityClass priority, boolean repeatable, int deadlineMs) {

    /** Longest deadline that a contract may set: one hour, in milliseconds. */
    public static final int MAX_DEADLINE_MS = 3_600_000;

    /** Checks the components. */
    public RequestKind {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
        if (deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
            throw new IllegalArgumentException(
                    "deadlineMs of kind '"
                            + name
                            + "' is "
                            + deadlineMs
                            + "; set it between 1 and "
                            + MAX_DEADLINE_MS);
        }
    }
}
