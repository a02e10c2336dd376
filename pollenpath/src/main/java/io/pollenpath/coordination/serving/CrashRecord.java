package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.Set;

/**
 * The crash of a backend server.
 *
 * @param nanos the time of the crash, in nanoseconds
 * @param service the service that the server belonged to
 * @param suspects what was in flight on it
 */
record CrashRecord(long nanos, String service, Set<CrashSuspect> suspects) {

    CrashRecord {
        suspects = Set.copyOf(suspects);
    }
}
