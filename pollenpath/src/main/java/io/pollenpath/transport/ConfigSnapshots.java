package io.pollenpath.transport;

import io.pollenpath.coordination.ConfigEntry;
import io.pollenpath.coordination.ConfigReplica;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ConfigFrames;
import io.pollenpath.protocol.Declarations;
import io.pollenpath.state.BackendServer;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.state.Contract;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Converts the objects of a replica to the snapshot that traffic reads. */
final class ConfigSnapshots {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigSnapshots.class);

    private ConfigSnapshots() {}

    /** Builds the snapshot; an object that is not acceptable is left out and logged. */
    static ConfigSnapshot of(ConfigReplica replica) {
        List<Contract> contracts = new ArrayList<>();
        List<BackendServer> servers = new ArrayList<>();
        Set<String> drained = new HashSet<>();
        for (ConfigEntry entry : replica.entries()) {
            if (!entry.deleted()) {
                convert(entry, contracts, servers, drained);
            }
        }
        servers.replaceAll(s -> drained.contains(s.name()) ? s.asDrained() : s);
        return new ConfigSnapshot(replica.revision(), contracts, servers);
    }

    private static void convert(
            ConfigEntry entry,
            List<Contract> contracts,
            List<BackendServer> servers,
            Set<String> drained) {
        try {
            ApiObject object = ConfigFrames.toObject(entry);
            switch (entry.kind()) {
                case Declarations.CONTRACT -> contracts.add(Declarations.toContract(object));
                case Declarations.BACKEND_SERVER ->
                        servers.add(Declarations.toBackendServer(object));
                case Declarations.DRAIN -> {
                    if (Declarations.isDrained(object)) {
                        drained.add(entry.name());
                    }
                }
                default -> {
                    // Other kinds are read by those that use them.
                }
            }
        } catch (IllegalArgumentException e) {
            LOG.warn(
                    "{}",
                    LogLine.event("config_object_ignored")
                            .with("kind", entry.kind())
                            .with("name", entry.name())
                            .with("error", e.getMessage()));
        }
    }
}
