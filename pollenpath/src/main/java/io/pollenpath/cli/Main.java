package io.pollenpath.cli;

import io.pollenpath.util.NearestName;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Runs the subcommand that the command line names. */
public final class Main {

    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;

    Main(Map<String, String> environment, PrintStream out, PrintStream err) {
        this.environment = Map.copyOf(environment);
        this.out = out;
        this.err = err;
    }

    /**
     * Parses the command line and runs the subcommand.
     *
     * @param arguments the subcommand and its flags
     */
    public static void main(String[] arguments) {
        int code = new Main(System.getenv(), System.out, System.err).run(List.of(arguments));
        if (code != ExitCodes.OK) {
            System.exit(code);
        }
    }

    int run(List<String> arguments) {
        if (arguments.isEmpty()) {
            out.print(HelpText.ofProgram(Subcommands.ALL));
            return ExitCodes.OK;
        }
        String first = arguments.get(0);
        List<String> rest = arguments.subList(1, arguments.size());
        return switch (first) {
            case "help", "--help", "-h" -> help(rest);
            case "version", "--version" -> version();
            default -> runSubcommand(first, rest);
        };
    }

    private int help(List<String> rest) {
        if (rest.isEmpty()) {
            out.print(HelpText.ofProgram(Subcommands.ALL));
            return ExitCodes.OK;
        }
        Optional<Subcommand<?>> subcommand = Subcommands.find(rest.get(0));
        if (subcommand.isEmpty()) {
            return unknown(rest.get(0));
        }
        out.print(HelpText.ofSubcommand(subcommand.get()));
        return ExitCodes.OK;
    }

    private int version() {
        String version = Main.class.getPackage().getImplementationVersion();
        out.println("pollenpath " + (version == null ? "unpackaged" : version));
        return ExitCodes.OK;
    }

    private int runSubcommand(String name, List<String> rest) {
        Optional<Subcommand<?>> subcommand = Subcommands.find(name);
        if (subcommand.isEmpty()) {
            return unknown(name);
        }
        CommandLine.unknownVariables(environment, Subcommands.variables())
                .forEach(warning -> err.println("warning: " + warning));
        return subcommand.get().run(rest, environment, out, err);
    }

    private int unknown(String name) {
        err.println(
                "error: subcommand '"
                        + name
                        + "' is unknown; "
                        + NearestName.suggestion(name, Subcommands.names()));
        return ExitCodes.USAGE;
    }
}
