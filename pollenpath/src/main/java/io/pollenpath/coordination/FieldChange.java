package io.pollenpath.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * A field whose stored value differs from the value that an operator declares.
 *
 * @param path the path of the field, such as {@code spec.burst}, not null
 * @param lastApplied the value that this operator applied last; a missing node if there is none
 * @param stored the stored value; a missing node if there is none
 * @param declared the value that this operator declares now; a missing node if there is none
 */
public record FieldChange(String path, JsonNode lastApplied, JsonNode stored, JsonNode declared) {

    /** Checks the components. */
    public FieldChange {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(lastApplied, "lastApplied");
        Objects.requireNonNull(stored, "stored");
        Objects.requireNonNull(declared, "declared");
    }
}
