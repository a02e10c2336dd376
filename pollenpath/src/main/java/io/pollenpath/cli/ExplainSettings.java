package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.util.ValidationErrors;
import java.util.ArrayList;
import java.util.List;

/** Settings of {@code explain}. */
final class ExplainSettings extends BaseSettings {

    @Parameter(description = "ID [FILE...]")
    List<String> arguments = new ArrayList<>();

    @Override
    String positional() {
        return "ID [FILE...]";
    }

    @Override
    protected void check(ValidationErrors faults) {
        faults.addIf(arguments.isEmpty(), "the id of the request is missing; write it first");
    }
}
