package io.pollenpath.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

/** The registry of all subcommands, including those of {@link RoleProvider}s. */
final class Subcommands {

    /** Every subcommand that has settings, in the order in which the help lists them. */
    static final List<Subcommand<?>> ALL = withProvided(builtInSubcommands());

    private Subcommands() {}

    private static List<Subcommand<?>> builtInSubcommands() {
        return List.of(
                new Subcommand<>(
                        "entry",
                        "Serve callers on an entry VM",
                        EntrySettings::new,
                        settings -> Roles.run(settings, () -> new EntryRole(settings))),
                new Subcommand<>(
                        "side",
                        "Protect the backend server next to this process",
                        SideSettings::new,
                        settings -> Roles.run(settings, () -> new SideRole(settings))),
                new Subcommand<>(
                        "apply",
                        "Apply the declarations of files",
                        ApplySettings::new,
                        settings -> OperatorCommands.apply(settings, settings.dryRun)),
                new Subcommand<>(
                        "diff",
                        "Show, field by field, what apply would change",
                        ApplySettings::new,
                        settings -> OperatorCommands.apply(settings, true)),
                new Subcommand<>(
                        "get", "Print stored objects", GetSettings::new, OperatorCommands::get),
                new Subcommand<>(
                        "status",
                        "Print the number of objects and the highest version of each kind",
                        OperatorSettings::new,
                        OperatorCommands::status),
                new Subcommand<>(
                        "drain",
                        "Send no new requests to a backend server",
                        DrainSettings::new,
                        settings -> OperatorCommands.setDrained(settings, true)),
                new Subcommand<>(
                        "undrain",
                        "Send requests to a drained backend server again",
                        DrainSettings::new,
                        settings -> OperatorCommands.setDrained(settings, false)),
                new Subcommand<>(
                        "explain",
                        "Print the timeline of one request from the logs of all processes",
                        ExplainSettings::new,
                        OperatorCommands::explain),
                new Subcommand<>(
                        "hash-key",
                        "Read a customer's key from standard input and print its digest",
                        BaseSettings::new,
                        OperatorCommands::hashKey),
                new Subcommand<>(
                        "schema",
                        "Print the JSON schema of all declarations",
                        BaseSettings::new,
                        settings -> OperatorCommands.schema()));
    }

    private static List<Subcommand<?>> withProvided(List<Subcommand<?>> builtIn) {
        List<Subcommand<?>> all = new ArrayList<>(builtIn);
        for (RoleProvider provider : ServiceLoader.load(RoleProvider.class)) {
            all.add(
                    new Subcommand<>(
                            provider.name(),
                            provider.summary(),
                            provider::newSettings,
                            settings -> Roles.runProvided(provider, settings)));
        }
        return List.copyOf(all);
    }

    static Optional<Subcommand<?>> find(String name) {
        for (Subcommand<?> subcommand : ALL) {
            if (subcommand.name().equals(name)) {
                return Optional.of(subcommand);
            }
        }
        return Optional.empty();
    }

    static List<String> names() {
        List<String> names = new ArrayList<>(List.of("help", "version"));
        ALL.forEach(subcommand -> names.add(subcommand.name()));
        return names;
    }

    /** Returns the environment variables of all settings, and those that other programs read. */
    static List<String> variables() {
        List<String> variables =
                new ArrayList<>(List.of("POLLENPATH_JAVA_OPTS", "POLLENPATH_CONTRACT_OBJECT_API"));
        for (Subcommand<?> subcommand : ALL) {
            for (Setting setting : Setting.of(subcommand.newSettings())) {
                if (!setting.isModeFlag()) {
                    variables.add(setting.variable());
                }
            }
        }
        return variables;
    }
}
