package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.util.ValidationErrors;

/** Settings of {@code drain} and {@code undrain}. */
final class DrainSettings extends OperatorSettings {

    @Check(form = Form.NAME)
    @Parameter(names = "--operator", description = "Who makes the change, as told to others")
    String operator = userName();

    @Override
    int maxArguments() {
        return 1;
    }

    @Override
    String positional() {
        return "SERVER";
    }

    @Override
    protected void check(ValidationErrors faults) {
        super.check(faults);
        faults.addIf(arguments.isEmpty(), "the backend server is missing; name it");
    }
}
