package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * What one entry knows about backend servers that crashed, in the form in which entries exchange
 * it. Times are ages, because the clocks of entries are not comparable.
 *
 * @param crashes the crashes
 * @param clearances the suspects that were in an answer, most of them after a crash
 * @param trials the test runs of blocked suspects
 */
public record CrashReport(List<Crash> crashes, List<Clearance> clearances, List<Trial> trials) {

    /** Checks the components. */
    public CrashReport {
        crashes = List.copyOf(crashes);
        clearances = List.copyOf(clearances);
        trials = List.copyOf(trials);
    }

    /**
     * A crash of one incarnation of a backend server.
     *
     * @param server the incarnation of the server, not null
     * @param service the service that the server belonged to, not null
     * @param suspects what was in flight on it, not null
     * @param ageMs the time since the crash, in milliseconds, not negative
     */
    public record Crash(String server, String service, Set<CrashSuspect> suspects, long ageMs) {

        /** Checks the components. */
        public Crash {
            Objects.requireNonNull(server, "server");
            Objects.requireNonNull(service, "service");
            suspects = Set.copyOf(suspects);
            requireAge(ageMs);
        }
    }

    /**
     * An answer with a suspect, which proves that it did not crash every server until then.
     *
     * @param suspect the suspect, not null
     * @param ageMs the time since the answer, in milliseconds, not negative
     */
    public record Clearance(CrashSuspect suspect, long ageMs) {

        /** Checks the components. */
        public Clearance {
            Objects.requireNonNull(suspect, "suspect");
            requireAge(ageMs);
        }
    }

    /**
     * A test run of a blocked suspect.
     *
     * @param suspect the suspect, not null
     * @param id distinguishes the trials of one suspect
     * @param ageMs the time since the trial started, in milliseconds, not negative
     */
    public record Trial(CrashSuspect suspect, long id, long ageMs) {

        /** Checks the components. */
        public Trial {
            Objects.requireNonNull(suspect, "suspect");
            requireAge(ageMs);
        }
    }

    private static void requireAge(long ageMs) {
        if (ageMs < 0) {
            throw new IllegalArgumentException("ageMs is " + ageMs + "; set it to at least 0");
        }
    }
}
