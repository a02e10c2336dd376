package io.pollenpath.util;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Collects the faults of one input, so that all of them are reported together. */
public final class ValidationErrors {

    private final List<String> messages = new ArrayList<>();

    /**
     * Adds a fault.
     *
     * @param message what is wrong and the remedy, not null
     */
    public void add(String message) {
        messages.add(Objects.requireNonNull(message, "message"));
    }

    /**
     * Adds a fault if a condition holds.
     *
     * @param wrong whether to add it
     * @param message what is wrong and the remedy, not null
     */
    public void addIf(boolean wrong, String message) {
        if (wrong) {
            add(message);
        }
    }

    /**
     * Tells whether there is no fault.
     *
     * @return true if none was added
     */
    public boolean isEmpty() {
        return messages.isEmpty();
    }

    /**
     * Returns the faults.
     *
     * @return the messages in the order in which they were added
     */
    public List<String> messages() {
        return List.copyOf(messages);
    }
}
