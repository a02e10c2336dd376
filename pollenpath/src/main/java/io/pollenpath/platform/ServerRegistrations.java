package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes the registrations that engines write about themselves and skips unreadable ones. */
final class ServerRegistrations {

    private static final Logger LOG = LoggerFactory.getLogger(ServerRegistrations.class);
    private static final String READY = "ready";
    private static final String DRAINING = "draining";

    /** The revision of the last unreadable registration that was logged, by engine identity. */
    private final Map<String, Long> loggedRevisions = new HashMap<>();

    /**
     * Decodes all registrations.
     *
     * @param objects the registrations by the identity of their engine
     * @return the engines with a readable registration
     */
    List<ServerInstance> decode(Map<String, StoredObject> objects) {
        List<ServerInstance> servers = new ArrayList<>();
        for (StoredObject object : objects.values()) {
            try {
                servers.add(decode(object));
            } catch (IllegalArgumentException e) {
                logOnce(object, e);
            }
        }
        loggedRevisions.keySet().retainAll(objects.keySet());
        return servers;
    }

    private static ServerInstance decode(StoredObject object) {
        JsonNode registration = object.spec();
        HttpAddress address = HttpAddress.parse(requiredText(registration, "Address"));
        JsonNode slots = registration.path("Slots");
        if (!slots.isIntegralNumber()) {
            throw new IllegalArgumentException("Slots is not an integer");
        }
        return new ServerInstance(
                object.name(),
                registration.path("born").asLong(0),
                object.createdRevision(),
                requiredText(registration, "Service"),
                address.host(),
                address.port(),
                requiredText(registration, "Zone"),
                slots.intValue(),
                isDraining(requiredText(registration, "State")));
    }

    private static boolean isDraining(String state) {
        if (!state.equals(READY) && !state.equals(DRAINING)) {
            throw new IllegalArgumentException(
                    "State '" + state + "' is neither ready nor draining");
        }
        return state.equals(DRAINING);
    }

    private static String requiredText(JsonNode registration, String field) {
        JsonNode value = registration.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new IllegalArgumentException(field + " is missing, empty or not a string");
        }
        return value.textValue();
    }

    /** Logs an unreadable registration once per revision. */
    private void logOnce(StoredObject object, IllegalArgumentException failure) {
        Long loggedRevision = loggedRevisions.put(object.name(), object.revision());
        if (loggedRevision == null || loggedRevision != object.revision()) {
            LOG.warn(
                    "{}",
                    LogLine.event("server_entry_skipped")
                            .with("server", object.name())
                            .with("revision", object.revision())
                            .with("cause", failure.getMessage()));
        }
    }
}
