package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.NearestName;
import io.pollenpath.util.ValidationErrors;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Accepts an object with known fields only; an unknown one is answered with the nearest name. */
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
    public void check(String path, JsonNode value, ValidationErrors faults) {
        if (!value.isObject()) {
            faults.add(path + " is " + value + "; write an object with " + fields.keySet());
            return;
        }
        String prefix = path.isEmpty() ? "" : path + ".";
        for (String name : required) {
            faults.addIf(!value.has(name), prefix + name + " is missing; set it");
        }
        value.properties().forEach(e -> checkField(prefix, e.getKey(), e.getValue(), faults));
    }

    private void checkField(String prefix, String name, JsonNode value, ValidationErrors faults) {
        FieldRule rule = fields.get(name);
        if (rule == null) {
            faults.add(
                    "field "
                            + prefix
                            + name
                            + " is unknown; "
                            + NearestName.suggestion(name, fields.keySet()));
        } else {
            rule.check(prefix + name, value, faults);
        }
    }
}
