package io.pollenpath.state.serving;

import java.util.Objects;

/**
 * A service that receives a fraction of a route's requests.
 *
 * @param service the service, not null
 * @param weight the weight relative to the other services of the route, not negative
 */
public record WeightedService(String service, double weight) {

    /** Checks the components. */
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight is " + weight + "; set it to at least 0");
        }
    }
}
