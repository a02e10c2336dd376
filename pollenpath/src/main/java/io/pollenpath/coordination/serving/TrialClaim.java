package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.List;
import java.util.Objects;

/**
 * The wish of one entry to run the next trial of a blocked suspect.
 *
 * @param suspect the suspect, not null
 * @param number the number of trials that the claimant knows of, not negative
 * @param claimant the name of the entry, not null
 * @param evidence the numbers of crashes of all suspects of the request that would be the trial,
 *     the largest first, not null
 */
public record TrialClaim(
        CrashSuspect suspect, int number, String claimant, List<Integer> evidence) {

    /** Checks the components. */
    public TrialClaim {
        Objects.requireNonNull(suspect, "suspect");
        Objects.requireNonNull(claimant, "claimant");
        evidence = List.copyOf(evidence);
        if (number < 0) {
            throw new IllegalArgumentException("number is " + number + "; set it to at least 0");
        }
    }
}
