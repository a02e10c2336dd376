package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.util.ValidationErrors;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The settings that the operator commands share. */
class OperatorSettings extends BaseSettings {

    @Check(form = Form.ADDRESS)
    @Parameter(names = "--object-api", description = "Object API, as IP:port", required = true)
    String objectApi = "";

    @Check(min = 10, max = 60_000)
    @Parameter(
            names = "--object-api-timeout-ms",
            description = "Timeout of a call, in milliseconds")
    int objectApiTimeoutMs = 5_000;

    @Check(form = Form.LOG_LEVEL)
    @Parameter(
            names = "--log-level",
            description = "Minimum level to log: error, warn, info, debug or trace")
    String logLevel = "error";

    @Parameter(description = "Arguments of the subcommand")
    List<String> arguments = new ArrayList<>();

    /** Returns the maximum number of positional arguments. */
    int maxArguments() {
        return 0;
    }

    @Override
    protected void check(ValidationErrors errors) {
        errors.addIf(
                arguments.size() > maxArguments(),
                "arguments are "
                        + arguments
                        + "; give at most "
                        + maxArguments()
                        + " and use flags for the rest");
    }

    /** Returns the name of the system user, converted to {@link Form#NAME}. */
    static String userName() {
        String name = System.getProperty("user.name", "").toLowerCase(Locale.ROOT);
        String allowed = name.replaceAll("[^a-z0-9]+", "-").replaceAll("^-|-$", "");
        return allowed.isEmpty() ? "operator" : allowed;
    }
}
