package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.util.ValidationErrors;

/** The settings that every subcommand has. */
public class BaseSettings {

    @Parameter(names = "--help", description = "Print the flags of this subcommand and exit")
    boolean help;

    @Parameter(names = "--check", description = "Check all settings and exit")
    boolean check;

    @Parameter(
            names = "--print-settings",
            description = "Print the effective value and the source of each setting, and exit")
    boolean printSettings;

    /**
     * Checks rules that involve several settings and adds an error for each violation.
     *
     * @param errors receives the errors, not null
     */
    protected void check(ValidationErrors errors) {
        // By default, no rule involves several settings.
    }

    /** Returns the positional arguments as the help text shows them. */
    String positional() {
        return "";
    }
}
