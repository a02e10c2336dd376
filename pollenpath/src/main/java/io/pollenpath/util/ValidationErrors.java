package io.pollenpath.util;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Collects the validation errors of one input, so that all of them are reported together. */
public final class ValidationErrors {

    private final List<String> messages = new ArrayList<>();

    /**
     * Adds an error.
     *
     * @param message the problem and how to fix it, not null
     */
    public void add(String message) {
        messages.add(Objects.requireNonNull(message, "message"));
    }

    /**
     * Adds an error if a condition holds.
     *
     * @param invalid whether to add the error
     * @param message the problem and how to fix it, not null
     */
    public void addIf(boolean invalid, String message) {
        if (invalid) {
            add(message);
        }
    }

    /**
     * Returns whether there is no error.
     *
     * @return true if none was added
     */
    public boolean isEmpty() {
        return messages.isEmpty();
    }

    /**
     * Returns the error messages.
     *
     * @return the messages in the order in which they were added
     */
    public List<String> messages() {
        return List.copyOf(messages);
    }
}
