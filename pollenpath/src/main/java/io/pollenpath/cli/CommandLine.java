package io.pollenpath.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.pollenpath.util.NearestName;
import io.pollenpath.util.ValidationErrors;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sets the settings of a subcommand from flags and environment variables. Errors are collected
 * before JCommander parses the arguments, because JCommander stops at the first one.
 */
final class CommandLine {

    /** The source of a value. */
    enum Source {
        FLAG,
        ENVIRONMENT,
        DEFAULT
    }

    private final BaseSettings settings;
    private final Map<String, String> environment;
    private final Map<String, Setting> byName = new LinkedHashMap<>();
    private final Map<String, Source> sources = new HashMap<>();
    private final Map<String, String> environmentValues = new HashMap<>();
    private final List<String> validArguments = new ArrayList<>();
    private final ValidationErrors errors = new ValidationErrors();

    private CommandLine(BaseSettings settings, Map<String, String> environment) {
        this.settings = settings;
        this.environment = environment;
        for (Setting setting : Setting.of(settings)) {
            setting.names().forEach(name -> byName.put(name, setting));
        }
    }

    /**
     * Parses the arguments into the settings. They are valid only if {@link #errors()} is empty.
     */
    static CommandLine parse(
            BaseSettings settings, List<String> arguments, Map<String, String> environment) {
        CommandLine line = new CommandLine(settings, environment);
        line.scan(arguments);
        line.readEnvironment();
        line.setFields();
        if (!settings.help) {
            line.checkValues();
            settings.check(line.errors);
        }
        return line;
    }

    private void scan(List<String> arguments) {
        int next = 0;
        while (next < arguments.size()) {
            next = scanOne(arguments, next);
        }
    }

    private int scanOne(List<String> arguments, int index) {
        String argument = arguments.get(index);
        if (!argument.startsWith("-") || argument.length() == 1) {
            validArguments.add(argument);
            return index + 1;
        }
        int equals = argument.startsWith("--") ? argument.indexOf('=') : -1;
        String name = equals < 0 ? argument : argument.substring(0, equals);
        Setting setting = byName.get(name);
        if (setting == null) {
            errors.add(
                    "flag '"
                            + name
                            + "' is unknown; "
                            + NearestName.suggestion(name, byName.keySet()));
            boolean hasValue = index + 1 < arguments.size() && !isFlag(arguments.get(index + 1));
            return index + (equals < 0 && hasValue ? 2 : 1);
        }
        if (equals >= 0) {
            addValue(setting, name, argument.substring(equals + 1));
            return index + 1;
        }
        if (setting.isBoolean()) {
            addValue(setting, name, "true");
            return index + 1;
        }
        if (index + 1 == arguments.size() || byName.containsKey(arguments.get(index + 1))) {
            errors.add(name + " has no value; write one after it");
            return index + 1;
        }
        addValue(setting, name, arguments.get(index + 1));
        return index + 2;
    }

    private static boolean isFlag(String argument) {
        return argument.startsWith("-") && argument.length() > 1;
    }

    private void addValue(Setting setting, String name, String value) {
        boolean repeated = sources.put(setting.flag(), Source.FLAG) != null;
        if (repeated && !setting.isList()) {
            errors.add(name + " is given twice; keep one");
            return;
        }
        String error = setting.errorOf(value);
        if (error != null) {
            errors.add(name + " " + error);
        } else if (!setting.isBoolean()) {
            validArguments.add(name);
            validArguments.add(value);
        } else if (value.equals("true")) {
            validArguments.add(name);
        }
    }

    private void readEnvironment() {
        for (Setting setting : List.copyOf(byName.values())) {
            String value = environment.get(setting.variable());
            boolean ignored = setting.isModeFlag() || sources.containsKey(setting.flag());
            if (value == null || ignored) {
                continue;
            }
            sources.put(setting.flag(), Source.ENVIRONMENT);
            String error = setting.errorOf(value);
            if (error == null) {
                environmentValues.put(setting.variable(), value);
            } else {
                errors.add(setting.variable() + " " + error);
            }
        }
    }

    private void setFields() {
        try {
            JCommander.newBuilder()
                    .addObject(settings)
                    .defaultProvider(new EnvironmentDefaults(environmentValues))
                    .build()
                    .parseWithoutValidation(validArguments.toArray(String[]::new));
        } catch (ParameterException e) {
            errors.add(e.getMessage() + "; see --help");
        }
    }

    private void checkValues() {
        for (Setting setting : settings()) {
            String text = String.join(",", setting.texts());
            boolean given = sources.containsKey(setting.flag());
            if (text.isEmpty() && setting.isRequired()) {
                errors.add(
                        setting.flag()
                                + " is missing; set it or "
                                + setting.variable()
                                + " ("
                                + setting.description()
                                + ")");
            } else if (given && !text.isEmpty() && !setting.accepts()) {
                errors.add(
                        nameOf(setting)
                                + " is '"
                                + setting.displayValue()
                                + "'; set "
                                + setting.form().remedy());
            }
        }
    }

    private String nameOf(Setting setting) {
        return source(setting) == Source.ENVIRONMENT ? setting.variable() : setting.flag();
    }

    /** Returns the settings, each once even if it has several flags. */
    List<Setting> settings() {
        return byName.values().stream().distinct().toList();
    }

    Source source(Setting setting) {
        return sources.getOrDefault(setting.flag(), Source.DEFAULT);
    }

    List<String> errors() {
        return errors.messages();
    }

    /** Returns a warning for each variable with the prefix of this product that is no setting. */
    static List<String> unknownVariables(
            Map<String, String> environment, List<String> knownVariables) {
        List<String> warnings = new ArrayList<>();
        for (String name : new TreeMap<>(environment).keySet()) {
            boolean hasPrefix = name.startsWith(EnvironmentDefaults.PREFIX);
            if (hasPrefix && !knownVariables.contains(name)) {
                String nearest =
                        NearestName.find(name, knownVariables)
                                .map(known -> "; did you mean " + known + "?")
                                .orElse("; unset it");
                warnings.add(name + " is not a setting" + nearest);
            }
        }
        return warnings;
    }
}
