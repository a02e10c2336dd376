package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.group.AgentAddress;
import io.pollenpath.util.Json;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Registers the agent of this VM in the store and decodes the registrations of all agents. */
final class AgentDirectory {

    private static final Logger LOG = LoggerFactory.getLogger(AgentDirectory.class);
    private static final String AGENT = "Agent";
    private static final String ENGINE = "Engine";
    private static final String SERVICE = "Service";
    private static final long CALL_TIMEOUT_MS = 1_000;
    private static final long RETRY_DELAY_MS = 1_000;
    private static final int STATUS_CONFLICT = 409;

    private final StoreClient store;
    private final ScheduledExecutorService control;
    private final String service;

    AgentDirectory(StoreClient store, ScheduledExecutorService control, String service) {
        this.store = store;
        this.control = control;
        this.service = service;
    }

    /**
     * Registers an agent, with retries until the store has the registration, and again each time
     * the store comes back from an older copy. A registration that exists already is left as it is.
     *
     * @param node the name of the VM, which also names the stored object
     * @param address where the agent and its engine listen
     */
    void register(String node, AgentAddress address) {
        store.era().onChange(() -> RegistrationDelay.schedule(control, () -> write(node, address)));
        write(node, address);
    }

    private void write(String node, AgentAddress address) {
        ObjectNode spec =
                Json.object()
                        .put(AGENT, address.agent().toString())
                        .put(ENGINE, address.engine().toString())
                        .put(SERVICE, service);
        store.create(StoreKinds.AGENTS, node, spec, CALL_TIMEOUT_MS)
                .whenCompleteAsync(
                        (written, failure) -> {
                            if (failure != null
                                    && !StoreException.hasStatus(failure, STATUS_CONFLICT)) {
                                control.schedule(
                                        () -> write(node, address),
                                        RETRY_DELAY_MS,
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        control);
    }

    /** Decodes the registrations of agents whose engines belong to the same service. */
    List<AgentAddress> decode(Map<String, StoredObject> objects) {
        List<AgentAddress> addresses = new ArrayList<>();
        for (StoredObject object : objects.values()) {
            JsonNode spec = object.spec();
            if (!spec.path(SERVICE).asText("").equals(service)) {
                continue;
            }
            try {
                addresses.add(
                        new AgentAddress(
                                HttpAddress.parse(spec.path(AGENT).asText("")),
                                HttpAddress.parse(spec.path(ENGINE).asText(""))));
            } catch (IllegalArgumentException e) {
                LOG.warn(
                        "{}",
                        LogLine.event("agent_skipped")
                                .with("agent", object.name())
                                .with("cause", e.getMessage()));
            }
        }
        return addresses;
    }
}
