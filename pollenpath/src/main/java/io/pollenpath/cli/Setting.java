package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** One setting of a subcommand: an annotated field of a settings object. */
final class Setting {

    private static final Set<String> MODE_FLAGS = Set.of("--help", "--check", "--print-settings");
    private static final String HIDDEN = "(hidden)";

    private final Object owner;
    private final Field field;
    private final Parameter parameter;
    private final Check check;

    private Setting(Object owner, Field field) {
        this.owner = owner;
        this.field = field;
        parameter = field.getAnnotation(Parameter.class);
        check = field.getAnnotation(Check.class);
        field.setAccessible(true);
    }

    /** Returns the settings of an object in the order of their declaration, inherited ones last. */
    static List<Setting> of(Object owner) {
        List<Setting> settings = new ArrayList<>();
        for (Class<?> type = owner.getClass(); type != null; type = type.getSuperclass()) {
            for (Field field : type.getDeclaredFields()) {
                Parameter parameter = field.getAnnotation(Parameter.class);
                if (parameter != null && parameter.names().length > 0) {
                    settings.add(new Setting(owner, field));
                }
            }
        }
        return settings;
    }

    /** Returns the longest flag. */
    String flag() {
        return names().stream().max(Comparator.comparingInt(String::length)).orElseThrow();
    }

    List<String> names() {
        return Arrays.asList(parameter.names());
    }

    String variable() {
        return EnvironmentDefaults.variableOf(flag());
    }

    String description() {
        return parameter.description();
    }

    boolean isRequired() {
        return parameter.required();
    }

    /** Returns whether the flag only selects what the subcommand does. It has no variable then. */
    boolean isModeFlag() {
        return MODE_FLAGS.contains(flag());
    }

    boolean isBoolean() {
        return field.getType() == boolean.class;
    }

    boolean isList() {
        return List.class.isAssignableFrom(field.getType());
    }

    /** Returns the items of a list, or the single value, as texts. */
    List<String> texts() {
        return value() instanceof List<?> items
                ? items.stream().map(String::valueOf).toList()
                : List.of(String.valueOf(value()));
    }

    /** Returns whether each text has the required format. */
    boolean accepts() {
        return texts().stream().allMatch(form()::accepts);
    }

    boolean isInteger() {
        return field.getType() == int.class || field.getType() == long.class;
    }

    boolean isNumber() {
        return isInteger() || field.getType() == double.class;
    }

    boolean isSecret() {
        return check != null && check.secret();
    }

    Form form() {
        return check == null ? Form.ANY : check.form();
    }

    long min() {
        return check == null ? 0 : check.min();
    }

    long max() {
        if (check != null) {
            return check.max();
        }
        return field.getType() == int.class ? Integer.MAX_VALUE : Long.MAX_VALUE;
    }

    Object value() {
        try {
            return field.get(owner);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException("the field " + field + " must be accessible", e);
        }
    }

    /** Returns the value with secrets and the user information of URLs hidden. */
    String displayValue() {
        String text = String.join(",", texts());
        if (isSecret()) {
            return text.isEmpty() ? "" : HIDDEN;
        }
        return text.replaceFirst("^(https?://)[^/@]*@", "$1" + HIDDEN + "@");
    }

    /** Returns the error of a text that can't be converted to the field's type, or null. */
    String errorOf(String text) {
        if (isBoolean()) {
            boolean valid = text.equals("true") || text.equals("false");
            return valid ? null : "is '" + text + "'; set true or false";
        }
        if (!isNumber()) {
            return null;
        }
        try {
            double number = isInteger() ? Long.parseLong(text) : Double.parseDouble(text);
            return number >= min() && number <= max()
                    ? null
                    : "is " + text + "; set it between " + min() + " and " + max();
        } catch (NumberFormatException e) {
            String form = isInteger() ? "a whole number" : "a number";
            return "is '" + text + "'; set " + form + " between " + min() + " and " + max();
        }
    }
}
