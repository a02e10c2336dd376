package io.pollenpath.cli;

import java.util.List;

/** Thrown when another operator changed fields after this operator last read or applied them. */
final class ApplyConflictException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient List<ApplyPlan> plans;

    ApplyConflictException(List<ApplyPlan> plans) {
        super(
                "another operator changed fields of this file; merge the stored version into the"
                        + " file and apply again, or replace it with --overwrite");
        this.plans = List.copyOf(plans);
    }

    /** Returns the plans that have conflicts. */
    List<ApplyPlan> plans() {
        return plans;
    }
}
