package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.ValidationErrors;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Creates the rules of single fields. */
final class FieldRules {

    private FieldRules() {}

    /** Accepts a text that matches a pattern as a whole. */
    static FieldRule text(Pattern pattern, String remedy) {
        return (path, value, faults) -> {
            boolean valid = value.isTextual() && pattern.matcher(value.asText()).matches();
            faults.addIf(!valid, path + " is " + value + "; set " + remedy);
        };
    }

    /** Accepts one of some texts. */
    static FieldRule oneOf(String... names) {
        List<String> allowed = List.of(names);
        return (path, value, faults) -> {
            boolean valid = value.isTextual() && allowed.contains(value.asText());
            faults.addIf(!valid, path + " is " + value + "; use " + String.join(" or ", allowed));
        };
    }

    /** Accepts a whole number. */
    static FieldRule whole(long min, long max) {
        return (path, value, faults) -> {
            boolean number = value.isIntegralNumber() && value.canConvertToLong();
            boolean valid = number && value.asLong() >= min && value.asLong() <= max;
            faults.addIf(
                    !valid,
                    path + " is " + value + "; set a whole number between " + min + " and " + max);
        };
    }

    /** Accepts a number, with or without a fraction. */
    static FieldRule number(double min, double max) {
        return (path, value, faults) -> {
            boolean valid = value.isNumber() && value.asDouble() >= min && value.asDouble() <= max;
            faults.addIf(
                    !valid,
                    path + " is " + value + "; set a number between " + min + " and " + max);
        };
    }

    /** Accepts a number above 0. */
    static FieldRule positive(double max) {
        return (path, value, faults) -> {
            boolean valid = value.isNumber() && value.asDouble() > 0 && value.asDouble() <= max;
            faults.addIf(!valid, path + " is " + value + "; set a number above 0 and up to " + max);
        };
    }

    /** Accepts true or false. */
    static FieldRule flag() {
        return (path, value, faults) ->
                faults.addIf(!value.isBoolean(), path + " is " + value + "; set true or false");
    }

    /** Accepts a list of different items. */
    static FieldRule list(FieldRule item, int min, int max) {
        return (path, value, faults) -> {
            if (!value.isArray() || value.size() < min || value.size() > max) {
                faults.add(path + " is " + value + "; list " + min + " to " + max + " items");
                return;
            }
            Set<JsonNode> seen = new HashSet<>();
            for (int i = 0; i < value.size(); i++) {
                String itemPath = path + "[" + i + "]";
                JsonNode node = value.get(i);
                item.check(itemPath, node, faults);
                faults.addIf(!seen.add(node), itemPath + " repeats " + node + "; keep one");
            }
        };
    }

    /** Accepts an object whose keys are free within a pattern. */
    static FieldRule map(Pattern key, String keyRemedy, FieldRule item) {
        return (path, value, faults) -> {
            if (!value.isObject()) {
                faults.add(path + " is " + value + "; write an object");
                return;
            }
            value.properties().forEach(e -> checkEntry(path, key, keyRemedy, item, e, faults));
        };
    }

    private static void checkEntry(
            String path,
            Pattern key,
            String keyRemedy,
            FieldRule item,
            Map.Entry<String, JsonNode> entry,
            ValidationErrors faults) {
        boolean valid = key.matcher(entry.getKey()).matches();
        faults.addIf(!valid, path + " has the key '" + entry.getKey() + "'; use " + keyRemedy);
        item.check(path + "." + entry.getKey(), entry.getValue(), faults);
    }
}
