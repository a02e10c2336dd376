package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.NearestName;
import io.pollenpath.util.ValidationErrors;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Accepts an object with known fields only. The error for an unknown field suggests the field with
 * the most similar name.
 */
final class ObjectRule implements FieldRule {

    private final Map<String, FieldRule> fields = new LinkedHashMap<>();
    private final Set<String> required = new LinkedHashSet<>();

    ObjectRule required(String name, FieldRule rule) {
        required.add(name);
        return optional(name, rule);
    }

    ObjectRule optional(String name, FieldRule rule) {
        fields.put(name, rule);
        return this;
    }

    @Override
    public void check(String path, JsonNode value, ValidationErrors errors) {
        if (!value.isObject()) {
            errors.add(path + " is " + value + "; write an object with " + fields.keySet());
            return;
        }
        String prefix = path.isEmpty() ? "" : path + ".";
        for (String name : required) {
            errors.addIf(!value.has(name), prefix + name + " is missing; set it");
        }
        value.properties().forEach(e -> checkField(prefix, e.getKey(), e.getValue(), errors));
    }

    private void checkField(String prefix, String name, JsonNode value, ValidationErrors errors) {
        FieldRule rule = fields.get(name);
        if (rule == null) {
            errors.add(
                    "field "
                            + prefix
                            + name
                            + " is unknown; "
                            + NearestName.suggestion(name, fields.keySet()));
        } else {
            rule.check(prefix + name, value, errors);
        }
    }
}
