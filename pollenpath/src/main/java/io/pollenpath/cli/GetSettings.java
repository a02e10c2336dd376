package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.protocol.DeclarationKind;
import io.pollenpath.util.NearestName;
import io.pollenpath.util.ValidationErrors;

/** Settings of {@code get}. */
final class GetSettings extends OperatorSettings {

    @Check(form = Form.OUTPUT)
    @Parameter(
            names = {"-o", "--output"},
            description = "Format of the printed objects: yaml, or json with one object a line")
    String output = "json";

    @Override
    int maxArguments() {
        return 2;
    }

    @Override
    String positional() {
        return "KIND [NAME]";
    }

    @Override
    protected void check(ValidationErrors faults) {
        super.check(faults);
        if (arguments.isEmpty()) {
            faults.add("the kind is missing; use one of " + DeclarationKind.names());
            return;
        }
        String kind = arguments.get(0);
        faults.addIf(
                DeclarationKind.find(kind).isEmpty(),
                "kind '"
                        + kind
                        + "' is unknown; "
                        + NearestName.suggestion(kind, DeclarationKind.names()));
    }
}
