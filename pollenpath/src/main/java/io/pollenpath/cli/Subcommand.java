package io.pollenpath.cli;

import io.pollenpath.util.LogLine;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/**
 * One subcommand of the command line.
 *
 * @param name the name on the command line
 * @param summary a summary for the help, in one line
 * @param settings creates settings with their defaults
 * @param action runs it and returns the exit code
 */
record Subcommand<T extends BaseSettings>(
        String name, String summary, Supplier<T> settings, ToIntFunction<T> action) {

    BaseSettings newSettings() {
        return settings.get();
    }

    int run(
            List<String> arguments,
            Map<String, String> environment,
            PrintStream out,
            PrintStream err) {
        T values = settings.get();
        CommandLine commandLine = CommandLine.parse(values, arguments, environment);
        if (values.help) {
            out.print(HelpText.ofSubcommand(this));
            return ExitCodes.OK;
        }
        if (values.printSettings) {
            commandLine.settings().forEach(setting -> printSetting(commandLine, setting, out));
        }
        if (!commandLine.errors().isEmpty()) {
            commandLine.errors().forEach(error -> err.println("error: " + error));
            err.println(
                    "error: faults="
                            + commandLine.errors().size()
                            + "; see pollenpath help "
                            + name);
            return ExitCodes.USAGE;
        }
        if (values.check) {
            out.println("settings=valid");
        }
        return values.check || values.printSettings ? ExitCodes.OK : action.applyAsInt(values);
    }

    private static void printSetting(CommandLine commandLine, Setting setting, PrintStream out) {
        if (setting.isModeFlag()) {
            return;
        }
        out.println(
                LogLine.event("setting")
                        .with("flag", setting.flag())
                        .with("value", setting.displayValue())
                        .with("from", commandLine.source(setting).name().toLowerCase(Locale.ROOT))
                        .with("variable", setting.variable()));
    }
}
