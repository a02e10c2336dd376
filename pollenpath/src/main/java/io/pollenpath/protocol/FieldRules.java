package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.ValidationErrors;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Factory methods for the rules of single fields. */
final class FieldRules {

    private FieldRules() {}

    /** Accepts a string that matches a pattern in full. */
    static FieldRule text(Pattern pattern, String remedy) {
        return (path, value, errors) -> {
            boolean valid = value.isTextual() && pattern.matcher(value.asText()).matches();
            errors.addIf(!valid, path + " is " + value + "; set " + remedy);
        };
    }

    /** Accepts one of the given strings. */
    static FieldRule oneOf(String... names) {
        List<String> allowed = List.of(names);
        return (path, value, errors) -> {
            boolean valid = value.isTextual() && allowed.contains(value.asText());
            errors.addIf(!valid, path + " is " + value + "; use " + String.join(" or ", allowed));
        };
    }

    /** Accepts an integer between two bounds, both inclusive. */
    static FieldRule integer(long min, long max) {
        return (path, value, errors) -> {
            boolean isLong = value.isIntegralNumber() && value.canConvertToLong();
            boolean valid = isLong && value.asLong() >= min && value.asLong() <= max;
            errors.addIf(
                    !valid,
                    path + " is " + value + "; set a whole number between " + min + " and " + max);
        };
    }

    /** Accepts any number between two bounds, both inclusive. */
    static FieldRule number(double min, double max) {
        return (path, value, errors) -> {
            boolean valid = value.isNumber() && value.asDouble() >= min && value.asDouble() <= max;
            errors.addIf(
                    !valid,
                    path + " is " + value + "; set a number between " + min + " and " + max);
        };
    }

    /** Accepts a number above 0 and up to a maximum. */
    static FieldRule positive(double max) {
        return (path, value, errors) -> {
            boolean valid = value.isNumber() && value.asDouble() > 0 && value.asDouble() <= max;
            errors.addIf(!valid, path + " is " + value + "; set a number above 0 and up to " + max);
        };
    }

    /** Accepts a boolean. */
    static FieldRule bool() {
        return (path, value, errors) ->
                errors.addIf(!value.isBoolean(), path + " is " + value + "; set true or false");
    }

    /** Accepts a list without duplicates whose size is within bounds. */
    static FieldRule list(FieldRule item, int min, int max) {
        return (path, value, errors) -> {
            if (!value.isArray() || value.size() < min || value.size() > max) {
                errors.add(path + " is " + value + "; list " + min + " to " + max + " items");
                return;
            }
            Set<JsonNode> seen = new HashSet<>();
            for (int i = 0; i < value.size(); i++) {
                String itemPath = path + "[" + i + "]";
                JsonNode node = value.get(i);
                item.check(itemPath, node, errors);
                errors.addIf(!seen.add(node), itemPath + " repeats " + node + "; keep one");
            }
        };
    }

    /** Accepts an object with any keys that match a pattern. */
    static FieldRule map(Pattern key, String keyRemedy, FieldRule item) {
        return (path, value, errors) -> {
            if (!value.isObject()) {
                errors.add(path + " is " + value + "; write an object");
                return;
            }
            value.properties().forEach(e -> checkEntry(path, key, keyRemedy, item, e, errors));
        };
    }

    private static void checkEntry(
            String path,
            Pattern key,
            String keyRemedy,
            FieldRule item,
            Map.Entry<String, JsonNode> entry,
            ValidationErrors errors) {
        boolean valid = key.matcher(entry.getKey()).matches();
        errors.addIf(!valid, path + " has the key '" + entry.getKey() + "'; use " + keyRemedy);
        item.check(path + "." + entry.getKey(), entry.getValue(), errors);
    }
}
