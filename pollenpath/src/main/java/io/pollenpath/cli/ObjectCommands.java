package io.pollenpath.cli;

import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.DeclarationKind;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.util.ValidationErrors;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;

/** Implements the operator commands that use the Object API. */
final class ObjectCommands {

    private final ObjectApi api;
    private final PrintStream out;
    private final PrintStream err;

    ObjectCommands(ObjectApi api, PrintStream out, PrintStream err) {
        this.api = api;
        this.out = out;
        this.err = err;
    }

    /**
     * Applies the declarations of a file or directory. Writes nothing unless all of them are valid
     * and none conflicts with the change of another operator.
     *
     * @return the exit code
     */
    int apply(Path path, ApplyPlan.Mode mode, boolean dryRun) throws IOException {
        ValidationErrors errors = new ValidationErrors();
        List<Declaration> declarations = DeclarationFiles.read(path, errors);
        if (!errors.isEmpty()) {
            return refuse(errors);
        }
        Applier applier = new Applier(api, mode);
        List<ApplyPlan> plans = applier.plan(declarations, errors);
        if (!errors.isEmpty()) {
            return refuse(errors);
        }
        ApplyReport report = new ApplyReport(out, err);
        if (dryRun) {
            plans.forEach(report::printPlan);
        }
        List<ApplyPlan> conflicts = plans.stream().filter(p -> !p.conflicts().isEmpty()).toList();
        if (!conflicts.isEmpty()) {
            throw new ApplyConflictException(conflicts);
        }
        if (!dryRun) {
            plans.forEach(plan -> report.printResult(plan, applier.write(plan)));
        }
        return ExitCodes.OK;
    }

    private int refuse(ValidationErrors errors) {
        errors.messages().forEach(message -> err.println("error: " + message));
        err.println("error: faults=" + errors.messages().size() + "; nothing was written");
        return ExitCodes.USAGE;
    }

    /** Prints the stored objects of a kind. */
    void get(String kind, boolean yaml) {
        api.list(kind).join().objects().stream()
                .sorted(Comparator.comparing(ApiObject::name))
                .forEach(object -> print(object, yaml));
    }

    /** Prints one stored object. */
    void get(String kind, String name, boolean yaml) {
        print(api.get(kind, name).join(), yaml);
    }

    private void print(ApiObject object, boolean yaml) {
        ApiObject shown = AppliedRecords.withoutRecords(object);
        if (yaml) {
            out.print(ObjectFormatter.yaml(shown));
        } else {
            out.println(ObjectFormatter.json(shown));
        }
    }

    /** Prints how many objects of each kind are stored, and their highest version. */
    void status() {
        long revision = 0;
        for (String kind : DeclarationKind.names()) {
            ObjectApi.Listing listing = api.list(kind).join();
            long version = listing.objects().stream().mapToLong(ApiObject::version).max().orElse(0);
            revision = Math.max(revision, version);
            out.println(
                    "kind=" + kind + " count=" + listing.objects().size() + " version=" + version);
        }
        out.println("revision=" + revision);
    }

    /** Drains or undrains a backend server on behalf of an operator. */
    void setDrained(String server, boolean drained, String operator) {
        new DrainCommands(api, out, operator).set(server, drained, Instant.now());
    }
}
