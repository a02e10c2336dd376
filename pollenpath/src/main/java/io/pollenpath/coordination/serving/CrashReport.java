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
 * @param clearances the requests that completed after a crash
 * @param trials the test runs of blocked requests
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
     * @param suspects the requests that were in flight on it, not null
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
     * A complete answer to a request, which proves that it does not crash every server.
     *
     * @param request the request, not null
     * @param ageMs the time since the answer, in milliseconds, not negative
     */
    public record Clearance(CrashSuspect request, long ageMs) {

        /** Checks the components. */
        public Clearance {
            Objects.requireNonNull(request, "request");
            requireAge(ageMs);
        }
    }

    /**
     * A test run of a blocked request.
     *
     * @param request the request, not null
     * @param id distinguishes the trials of one request
     * @param ageMs the time since the trial started, in milliseconds, not negative
     */
    public record Trial(CrashSuspect request, long id, long ageMs) {

        /** Checks the components. */
        public Trial {
            Objects.requireNonNull(request, "request");
            requireAge(ageMs);
        }
    }

    private static void requireAge(long ageMs) {
        if (ageMs < 0) {
            throw new IllegalArgumentException("ageMs is " + ageMs + "; set it to at least 0");
        }
    }
}
