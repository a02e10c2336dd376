package io.pollenpath.transport.serving;

import com.codahale.metrics.MetricRegistry;
import io.pollenpath.transport.MetricNames;
import io.pollenpath.util.LogLine;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records work that failed for no reason of the network. Each failure is counted; one that goes on
 * at the same place is told once in a while. Used by one thread.
 */
final class FailureLog {

    private static final Logger LOG = LoggerFactory.getLogger(FailureLog.class);
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_SHOWN_FRAMES = 6;
    private static final int MAX_PLACES = 100;
    private static final String OWN_PACKAGES = "io.pollenpath.";

    private final MetricRegistry metrics;
    private final Map<String, Told> toldByPlace = new LinkedHashMap<>();

    /** When failures of a place were last told, and how many came since then. */
    private static final class Told {
        private final long nanos;
        private int untold;

        private Told(long nanos) {
            this.nanos = nanos;
        }
    }

    FailureLog(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Records a failure.
     *
     * @param cause what was thrown, not null
     * @param requestId the request that was handled; empty if it was none
     * @return whether memory has run out
     */
    boolean onFailure(Throwable cause, String requestId, long nowNanos) {
        boolean outOfMemory = causes(cause).anyMatch(OutOfMemoryError.class::isInstance);
        if (outOfMemory || !(cause instanceof IOException)) {
            MetricNames.count(
                    metrics, "work_failed_total", "cause", cause.getClass().getSimpleName());
            tell(cause, requestId, outOfMemory, nowNanos);
        }
        return outOfMemory;
    }

    private void tell(Throwable cause, String requestId, boolean outOfMemory, long nowNanos) {
        String place = placeOf(cause);
        Told before = toldByPlace.get(place);
        if (before != null && nowNanos - before.nanos < REPEAT_NANOS) {
            before.untold++;
            return;
        }
        toldByPlace.put(place, new Told(nowNanos));
        forgetOldest();
        LOG.error(
                "{}",
                LogLine.event("work_failed")
                        .with("request", requestId)
                        .with("cause", cause)
                        .with("at", place)
                        .with("untold_before", before == null ? 0 : before.untold)
                        .with("out_of_memory", outOfMemory));
    }

    private void forgetOldest() {
        if (toldByPlace.size() > MAX_PLACES) {
            toldByPlace.remove(toldByPlace.keySet().iterator().next());
        }
    }

    private static Stream<Throwable> causes(Throwable failure) {
        return Stream.iterate(failure, cause -> cause != null, Throwable::getCause);
    }

    /** Returns the methods of this project that were running, the innermost first. */
    private static String placeOf(Throwable failure) {
        return Stream.of(failure.getStackTrace())
                .filter(frame -> frame.getClassName().startsWith(OWN_PACKAGES))
                .limit(MAX_SHOWN_FRAMES)
                .map(FailureLog::shortNameOf)
                .collect(Collectors.joining("<"));
    }

    private static String shortNameOf(StackTraceElement frame) {
        String className = frame.getClassName();
        return className.substring(className.lastIndexOf('.') + 1) + "." + frame.getMethodName();
    }
}
