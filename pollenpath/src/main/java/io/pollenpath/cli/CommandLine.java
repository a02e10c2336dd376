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
 * Fills the settings of a subcommand from flags and environment variables. Every fault is collected
 * before JCommander sees the arguments, because JCommander stops at the first one.
 */
final class CommandLine {

    /** Where a value came from. */
    enum Source {
        FLAG,
        ENVIRONMENT,
        DEFAULT
    }

    private final BaseSettings settings;
    private final Map<String, String> environment;
    private final Map<String, Setting> byName = new LinkedHashMap<>();
    private final Map<String, Source> sources = new HashMap<>();
    private final Map<String, String> variables = new HashMap<>();
    private final List<String> kept = new ArrayList<>();
    private final ValidationErrors faults = new ValidationErrors();

    private CommandLine(BaseSettings settings, Map<String, String> environment) {
        this.settings = settings;
        this.environment = environment;
        for (Setting setting : Setting.of(settings)) {
            setting.names().forEach(name -> byName.put(name, setting));
        }
    }

    /** Fills the settings; look at {@link #faults()} before using them. */
    static CommandLine parse(
            BaseSettings settings, List<String> arguments, Map<String, String> environment) {
        CommandLine line = new CommandLine(settings, environment);
        line.scan(arguments);
        line.readEnvironment();
        line.fill();
        if (!settings.help) {
            line.checkValues();
            settings.check(line.faults);
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
            kept.add(argument);
            return index + 1;
        }
        int equals = argument.startsWith("--") ? argument.indexOf('=') : -1;
        String name = equals < 0 ? argument : argument.substring(0, equals);
        Setting setting = byName.get(name);
        if (setting == null) {
            faults.add(
                    "flag '"
                            + name
                            + "' is unknown; "
                            + NearestName.suggestion(name, byName.keySet()));
            boolean hasValue = index + 1 < arguments.size() && !isFlag(arguments.get(index + 1));
            return index + (equals < 0 && hasValue ? 2 : 1);
        }
        if (equals >= 0) {
            take(setting, name, argument.substring(equals + 1));
            return index + 1;
        }
        if (setting.isBoolean()) {
            take(setting, name, "true");
            return index + 1;
        }
        if (index + 1 == arguments.size() || byName.containsKey(arguments.get(index + 1))) {
            faults.add(name + " has no value; write one after it");
            return index + 1;
        }
        take(setting, name, arguments.get(index + 1));
        return index + 2;
    }

    private static boolean isFlag(String argument) {
        return argument.startsWith("-") && argument.length() > 1;
    }

    private void take(Setting setting, String name, String value) {
        boolean repeated = sources.put(setting.flag(), Source.FLAG) != null;
        if (repeated && !setting.isList()) {
            faults.add(name + " is given twice; keep one");
            return;
        }
        String fault = setting.faultOf(value);
        if (fault != null) {
            faults.add(name + " " + fault);
        } else if (!setting.isBoolean()) {
            kept.add(name);
            kept.add(value);
        } else if (value.equals("true")) {
            kept.add(name);
        }
    }

    private void readEnvironment() {
        for (Setting setting : List.copyOf(byName.values())) {
            String value = environment.get(setting.variable());
            boolean unused = setting.isMode() || sources.containsKey(setting.flag());
            if (value == null || unused) {
                continue;
            }
            sources.put(setting.flag(), Source.ENVIRONMENT);
            String fault = setting.faultOf(value);
            if (fault == null) {
                variables.put(setting.variable(), value);
            } else {
                faults.add(setting.variable() + " " + fault);
            }
        }
    }

    private void fill() {
        try {
            JCommander.newBuilder()
                    .addObject(settings)
                    .defaultProvider(new EnvironmentDefaults(variables))
                    .build()
                    .parseWithoutValidation(kept.toArray(String[]::new));
        } catch (ParameterException e) {
            faults.add(e.getMessage() + "; see --help");
        }
    }

    private void checkValues() {
        for (Setting setting : settings()) {
            String text = String.join(",", setting.texts());
            boolean given = sources.containsKey(setting.flag());
            if (text.isEmpty() && setting.isRequired()) {
                faults.add(
                        setting.flag()
                                + " is missing; set it or "
                                + setting.variable()
                                + " ("
                                + setting.description()
                                + ")");
            } else if (given && !text.isEmpty() && !setting.accepts()) {
                faults.add(
                        nameOf(setting)
                                + " is '"
                                + setting.shownValue()
                                + "'; set "
                                + setting.form().remedy());
            }
        }
    }

    private String nameOf(Setting setting) {
        return source(setting) == Source.ENVIRONMENT ? setting.variable() : setting.flag();
    }

    /** Returns the settings, each once. */
    List<Setting> settings() {
        return byName.values().stream().distinct().toList();
    }

    Source source(Setting setting) {
        return sources.getOrDefault(setting.flag(), Source.DEFAULT);
    }

    List<String> faults() {
        return faults.messages();
    }

    /** Returns a warning for each variable of this product that no subcommand knows. */
    static List<String> unknownVariables(
            Map<String, String> environment, List<String> knownVariables) {
        List<String> warnings = new ArrayList<>();
        for (String name : new TreeMap<>(environment).keySet()) {
            boolean ours = name.startsWith(EnvironmentDefaults.PREFIX);
            if (ours && !knownVariables.contains(name)) {
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
