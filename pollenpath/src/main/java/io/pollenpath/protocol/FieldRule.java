package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.ValidationErrors;

/** Validates the value of one field of a declaration. */
@FunctionalInterface
interface FieldRule {

    /** Adds an error with path and remedy for each violation of the rule by a present value. */
    void check(String path, JsonNode value, ValidationErrors errors);
}
