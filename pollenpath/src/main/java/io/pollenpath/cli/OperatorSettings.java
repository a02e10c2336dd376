package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.util.ValidationErrors;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Settings that the operators' commands share. */
class OperatorSettings extends BaseSettings {

    @Check(form = Form.ADDRESS)
    @Parameter(names = "--object-api", description = "Object API, as IP:port", required = true)
    String objectApi = "";

    @Check(min = 10, max = 60_000)
    @Parameter(names = "--object-api-timeout-ms", description = "Longest call, in milliseconds")
    int objectApiTimeoutMs = 5_000;

    @Check(form = Form.LOG_LEVEL)
    @Parameter(
            names = "--log-level",
            description = "Least severe level to log: error, warn, info, debug or trace")
    String logLevel = "error";

    @Parameter(description = "What the subcommand concerns")
    List<String> arguments = new ArrayList<>();

    /** Returns the most positional arguments that the subcommand takes. */
    int maxArguments() {
        return 0;
    }

    @Override
    protected void check(ValidationErrors faults) {
        faults.addIf(
                arguments.size() > maxArguments(),
                "arguments are "
                        + arguments
                        + "; give at most "
                        + maxArguments()
                        + " and put flags for the rest");
    }

    /** Returns the name of the user in the form that names take. */
    static String userName() {
        String name = System.getProperty("user.name", "").toLowerCase(Locale.ROOT);
        String allowed = name.replaceAll("[^a-z0-9]+", "-").replaceAll("^-|-$", "");
        return allowed.isEmpty() ? "operator" : allowed;
    }
}
