package io.pollenpath.cli;

import java.util.List;
import java.util.StringJoiner;

/** Builds the help texts of the program and of each subcommand. */
final class HelpText {

    private static final String EXIT_CODES =
            """
            Exit codes:
              0  done; after a signal, all accepted work was finished
              1  failed; the message says how to proceed
              2  the command line, a setting or a declaration is not valid
              3  another operator changed the same object; that object was not written
              4  after a signal, the grace period ended before all accepted work was finished
            """;

    private HelpText() {}

    static String ofProgram(List<Subcommand<?>> subcommands) {
        StringBuilder text = new StringBuilder("Usage: pollenpath SUBCOMMAND [flags]\n\n");
        for (Subcommand<?> subcommand : subcommands) {
            text.append(String.format("  %-10s %s%n", subcommand.name(), subcommand.summary()));
        }
        text.append(
                String.format(
                        "  %-10s %s%n", "help", "Print this help, or the help of a subcommand"));
        text.append(String.format("  %-10s %s%n", "version", "Print the version"));
        text.append(
                "\nEvery flag has an environment variable: --grace-ms is POLLENPATH_GRACE_MS.\n");
        text.append("A flag overrides its variable, and a variable overrides the default.\n\n");
        return text.append(EXIT_CODES).toString();
    }

    static String ofSubcommand(Subcommand<?> subcommand) {
        BaseSettings settings = subcommand.newSettings();
        StringBuilder text = new StringBuilder("Usage: pollenpath ").append(subcommand.name());
        text.append(" [flags] ").append(settings.positional()).append('\n');
        text.append(subcommand.summary()).append("\n\n");
        Setting.of(settings).forEach(setting -> appendSetting(text, setting));
        return text.append('\n').append(EXIT_CODES).toString();
    }

    private static void appendSetting(StringBuilder text, Setting setting) {
        text.append("  ").append(String.join(", ", setting.names()));
        text.append(setting.isBoolean() ? "" : " VALUE").append('\n');
        text.append("      ").append(setting.description()).append('\n');
        StringJoiner properties = new StringJoiner("; ", "      ", "\n");
        if (setting.isRequired()) {
            properties.add("required");
        } else if (!setting.isModeFlag()) {
            String value = setting.displayValue();
            properties.add("default: " + (value.isEmpty() ? "none" : value));
        }
        if (setting.isNumber()) {
            properties.add("range: " + setting.min() + " to " + setting.max());
        } else if (setting.form() != Form.ANY) {
            properties.add("form: " + setting.form().remedy());
        }
        if (!setting.isModeFlag()) {
            properties.add("environment: " + setting.variable());
        }
        if (properties.length() > "      \n".length()) {
            text.append(properties);
        }
    }
}
