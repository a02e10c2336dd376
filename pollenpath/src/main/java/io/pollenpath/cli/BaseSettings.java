package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.util.ValidationErrors;

/** Flags that every subcommand has. */
public class BaseSettings {

    @Parameter(names = "--help", description = "Print the flags of this subcommand and exit")
    boolean help;

    @Parameter(names = "--check", description = "Check all settings and exit")
    boolean check;

    @Parameter(
            names = "--print-settings",
            description = "Print what is in force and where each setting came from, and exit")
    boolean printSettings;

    /**
     * Adds the faults that concern several settings at once.
     *
     * @param faults takes them, not null
     */
    protected void check(ValidationErrors faults) {
        // A subcommand without such rules has none.
    }

    /** Returns the positional arguments that the subcommand takes, for its help. */
    String positional() {
        return "";
    }
}
