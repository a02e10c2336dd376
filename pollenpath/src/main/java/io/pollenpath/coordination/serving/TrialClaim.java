package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.Objects;

/**
 * The wish of one entry to run the next trial of a blocked suspect.
 *
 * @param suspect the suspect, not null
 * @param number the number of trials that the claimant knows of, not negative
 * @param claimant the name of the entry, not null
 */
public record TrialClaim(CrashSuspect suspect, int number, String claimant) {

    /** Checks the components. */
    public TrialClaim {
        Objects.requireNonNull(suspect, "suspect");
        Objects.requireNonNull(claimant, "claimant");
        if (number < 0) {
            throw new IllegalArgumentException("number is " + number + "; set it to at least 0");
        }
    }
}
