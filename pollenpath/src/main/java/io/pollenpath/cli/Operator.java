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

/** Carries out the operators' commands against the Object API. */
final class Operator {

    private final ObjectApi api;
    private final PrintStream out;
    private final PrintStream err;

    Operator(ObjectApi api, PrintStream out, PrintStream err) {
        this.api = api;
        this.out = out;
        this.err = err;
    }

    /**
     * Makes the stored declarations equal to those of a file or directory; checks everything before
     * it writes anything.
     *
     * @return the exit code
     */
    int apply(Path path, ApplyPlan.Mode mode, boolean dryRun) throws IOException {
        ValidationErrors faults = new ValidationErrors();
        List<Declaration> declarations = DeclarationFiles.read(path, faults);
        if (!faults.isEmpty()) {
            return refuse(faults);
        }
        Applier applier = new Applier(api, mode);
        List<ApplyPlan> plans = applier.plan(declarations, faults);
        if (!faults.isEmpty()) {
            return refuse(faults);
        }
        ApplyReport report = new ApplyReport(out, err);
        if (dryRun) {
            plans.forEach(report::planned);
        }
        List<ApplyPlan> conflicts = plans.stream().filter(p -> !p.conflicts().isEmpty()).toList();
        if (!conflicts.isEmpty()) {
            throw new ApplyConflictException(conflicts);
        }
        if (!dryRun) {
            plans.forEach(plan -> report.written(plan, applier.write(plan)));
        }
        return ExitCodes.OK;
    }

    private int refuse(ValidationErrors faults) {
        faults.messages().forEach(message -> err.println("error: " + message));
        err.println("error: faults=" + faults.messages().size() + "; nothing was written");
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
            out.print(ObjectText.yaml(shown));
        } else {
            out.println(ObjectText.json(shown));
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

    /** Takes a backend server out of use, or back into it, in the name of an operator. */
    void setDrained(String server, boolean drained, String operator) {
        new DrainCommands(api, out, operator).set(server, drained, Instant.now());
    }
}
