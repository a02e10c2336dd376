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

/** Decodes the entries that engines write about themselves; one that can't be read is skipped. */
final class ServerEntries {

    private static final Logger LOG = LoggerFactory.getLogger(ServerEntries.class);
    private static final String READY = "ready";
    private static final String DRAINING = "draining";

    private final Map<String, Long> skipped = new HashMap<>();

    /**
     * Decodes all entries.
     *
     * @param objects the entries by the identity of their engine
     * @return the engines that the readable entries name
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
        skipped.keySet().retainAll(objects.keySet());
        return servers;
    }

    private static ServerInstance decode(StoredObject object) {
        JsonNode entry = object.spec();
        HttpAddress address = HttpAddress.parse(text(entry, "Address"));
        JsonNode slots = entry.path("Slots");
        if (!slots.isIntegralNumber()) {
            throw new IllegalArgumentException("Slots is no whole number");
        }
        return new ServerInstance(
                object.name(),
                entry.path("born").asLong(0),
                object.createdRevision(),
                text(entry, "Service"),
                address.host(),
                address.port(),
                text(entry, "Zone"),
                slots.intValue(),
                isDraining(text(entry, "State")));
    }

    private static boolean isDraining(String state) {
        if (!state.equals(READY) && !state.equals(DRAINING)) {
            throw new IllegalArgumentException("State '" + state + "' is unknown");
        }
        return state.equals(DRAINING);
    }

    private static String text(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new IllegalArgumentException(field + " is missing or no text");
        }
        return value.textValue();
    }

    private void logOnce(StoredObject object, IllegalArgumentException fault) {
        Long before = skipped.put(object.name(), object.revision());
        if (before == null || before != object.revision()) {
            LOG.warn(
                    "{}",
                    LogLine.event("server_entry_skipped")
                            .with("server", object.name())
                            .with("revision", object.revision())
                            .with("cause", fault.getMessage()));
        }
    }
}
