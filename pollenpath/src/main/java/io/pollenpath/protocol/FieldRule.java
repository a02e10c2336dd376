package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.ValidationErrors;

/** States what one field of a declaration may hold. */
@FunctionalInterface
interface FieldRule {

    /** Adds what is wrong with a value that is present, naming its path and the remedy. */
    void check(String path, JsonNode value, ValidationErrors faults);
}
