package io.pollenpath.state.serving;

import java.util.List;
import java.util.Objects;

/**
 * The rules by which requests of one host and path prefix are served.
 *
 * @param name the name in logs and metrics, not null
 * @param host the value of the Host header, not null
 * @param pathPrefix the prefix of the path, beginning and ending with a slash, not null
 * @param repeatability whether a request may run more than once, not null
 * @param streaming whether answers are streams of server-sent events
 * @param resumable whether a stream may continue on another server after its last event
 * @param maxAttempts the maximum number of servers that may run one request, at least 1
 * @param timeoutMs the maximum time until the answer is complete, in milliseconds, above 0
 * @param objectiveMs the latency objective of an answer, in milliseconds, above 0
 * @param gapObjectiveMs the latency objective of the gap between two events, in milliseconds; 0 for
 *     none
 * @param priority the priority; 0 is served first
 * @param isPublic whether requests need no key
 * @param targets the services among which the requests are split by weight, not empty
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Repeatability repeatability,
        boolean streaming,
        boolean resumable,
        int maxAttempts,
        long timeoutMs,
        long objectiveMs,
        long gapObjectiveMs,
        int priority,
        boolean isPublic,
        List<WeightedService> targets) {

    /** Checks the components. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(repeatability, "repeatability");
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException(
                    "route " + name + " has no target service; name at least one");
        }
        if (timeoutMs <= 0 || objectiveMs <= 0) {
            throw new IllegalArgumentException(
                    "route "
                            + name
                            + " has a timeout or latency objective below 1; set both above 0");
        }
    }

    /**
     * Returns whether a request that may already have been started may be retried.
     *
     * @return true for resumable streams, and for other answers if the route is idempotent
     */
    public boolean mayRunAgain() {
        return streaming ? resumable : repeatability == Repeatability.IDEMPOTENT;
    }

    /**
     * Chooses the service of one request.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive) that selects a target by
     *     weight
     * @return the service
     */
    public String serviceFor(double draw) {
        double total = 0;
        for (WeightedService target : targets) {
            total += target.weight();
        }
        double remaining = draw * total;
        for (WeightedService target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
