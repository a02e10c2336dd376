package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.SharedRetryBudget;
import io.pollenpath.state.serving.ServingView;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The traffic of each service that has had requests. All calls are made on one event loop. */
final class TrafficByService {

    private final GatewaySettings settings;
    private final Map<String, ServiceTraffic> byName = new HashMap<>();

    /**
     * Creates the traffic of no service.
     *
     * @param settings the settings of the deployment, not null
     */
    TrafficByService(GatewaySettings settings) {
        this.settings = settings;
    }

    /** Returns the traffic of a service. */
    ServiceTraffic of(String service) {
        return byName.computeIfAbsent(service, name -> new ServiceTraffic(name, newRetryBudget()));
    }

    private SharedRetryBudget newRetryBudget() {
        return new SharedRetryBudget(
                settings.startNanos(),
                settings.retryRatio(),
                settings.retryAllowance(),
                settings.retryWindowMs());
    }

    /** Returns the names of the services. */
    Set<String> services() {
        return byName.keySet();
    }

    /** Returns the number of requests that wait for a server. */
    int waiting() {
        return byName.values().stream().mapToInt(service -> service.queue().size()).sum();
    }

    /** Logs the load of each service that has requests. */
    void logState(RequestLog log, ServingView view) {
        byName.forEach(
                (name, service) -> {
                    if (service.inFlight() > 0 || service.queue().size() > 0) {
                        log.serviceState(name, service, view.serversOf(name).size());
                    }
                });
    }
}
