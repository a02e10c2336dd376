package io.pollenpath.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.coordination.FieldChange;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.util.Json;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints the plans, writes and conflicts of {@code apply} and {@code diff}. */
final class ApplyReport {

    private final PrintStream out;
    private final PrintStream err;

    ApplyReport(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Prints one plan with its changed fields and the stored version, 0 if nothing is stored. */
    void printPlan(ApplyPlan plan) {
        out.println(line(plan, plan.storedVersion()));
        plan.fields()
                .forEach(
                        field ->
                                out.println(
                                        "  field="
                                                + field.path()
                                                + " stored="
                                                + text(field.stored())
                                                + " declared="
                                                + text(field.declared())));
    }

    void printResult(ApplyPlan plan, Applier.WriteResult result) {
        String suffix = result.readBack() ? " confirmed=read_back" : "";
        out.println(line(plan, result.stored().version()) + suffix);
    }

    private static String line(ApplyPlan plan, long version) {
        String change = plan.change().name().toLowerCase(Locale.ROOT);
        return "object=" + plan.declaration().label() + " change=" + change + " version=" + version;
    }

    /** Prints each conflict with the stored and the declared object. */
    void printConflicts(List<ApplyPlan> plans) {
        for (ApplyPlan plan : plans) {
            err.println(
                    "conflict object="
                            + plan.declaration().label()
                            + " stored_version="
                            + plan.storedVersion()
                            + " file_version="
                            + plan.declaration().object().version()
                            + " source=\""
                            + plan.declaration().source()
                            + "\"");
            plan.conflicts().forEach(this::printConflict);
            err.println("stored:");
            err.print(plan.stored().map(ApplyReport::yaml).orElse("(deleted)\n"));
            err.println("declared:");
            err.print(yaml(plan.declaration().object()));
        }
    }

    private void printConflict(FieldChange field) {
        err.println(
                "  field="
                        + field.path()
                        + " stored="
                        + text(field.stored())
                        + " declared="
                        + text(field.declared())
                        + " last_applied="
                        + text(field.lastApplied()));
    }

    private static String text(JsonNode node) {
        return node.isMissingNode() ? "(none)" : Json.text(node);
    }

    private static String yaml(ApiObject object) {
        return ObjectFormatter.yaml(AppliedRecords.withoutRecords(object));
    }
}
