package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.transport.HttpAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the settings file that the platform writes for each process. */
final class SettingsFile {

    private static final double MS_PER_SECOND = 1_000;
    private static final double DEFAULT_GRACE_S = 8;
    private static final double DEFAULT_HISTORY_S = 20;
    private static final long DEFAULT_STABLE_WINDOW_MS = 3_000;
    private static final long DEFAULT_DRAIN_MS = 2_000;
    private static final long DEFAULT_HEARTBEAT_MS = 1_000;
    private static final long DEFAULT_CONFIG_APPLY_MS = 2_000;
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final double DEFAULT_RETRY_WINDOW_S = 10;
    private static final long DEFAULT_STALL_MS = 1_500;
    private static final double DEFAULT_CPU_SHARE = 1;
    private static final double DEFAULT_LINK_MBPS = 1_000;
    private static final double BITS_PER_MEGABIT = 1_000_000;

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @param path the path of the file
     * @return the settings, with defaults for optional ones that are missing
     * @throws IllegalArgumentException if the file can't be read, lacks a required setting or has a
     *     value that is not valid
     */
    static PlatformSettings read(Path path) {
        try {
            return parse(new YAMLMapper().readTree(Files.readAllBytes(path)));
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "settings file '" + path + "' can't be read; name a YAML file", e);
        }
    }

    private static PlatformSettings parse(JsonNode root) {
        JsonNode listen = root.path("Listen");
        return new PlatformSettings(
                required(root, "Node"),
                required(root, "Zone"),
                required(root, "Ip"),
                address(listen.path("Front")),
                address(listen.path("Ready")),
                root.path("InternalPortRange").path(0).asInt(0),
                address(root.path("Platform").path("Address"))
                        .orElseThrow(() -> missing("Platform.Address")),
                ms(root.path("Platform").path("HistoryS").asDouble(DEFAULT_HISTORY_S)),
                address(root.path("app")),
                Optional.ofNullable(root.path("Service").asText(null)),
                capacity(root.path("Limits")),
                bounds(root.path("Bounds"), root.path("HeartbeatMs")));
    }

    private static VmCapacity capacity(JsonNode limits) {
        double linkMbps = limits.path("LinkMbps").asDouble(DEFAULT_LINK_MBPS);
        return new VmCapacity(
                limits.path("CpuShare").asDouble(DEFAULT_CPU_SHARE),
                linkMbps * BITS_PER_MEGABIT / Byte.SIZE);
    }

    private static DeploymentBounds bounds(JsonNode bounds, JsonNode heartbeatMs) {
        return new DeploymentBounds(
                ms(bounds.path("GraceS").asDouble(DEFAULT_GRACE_S)),
                bounds.path("StableWindowMs").asLong(DEFAULT_STABLE_WINDOW_MS),
                bounds.path("DrainMs").asLong(DEFAULT_DRAIN_MS),
                heartbeatMs.asLong(DEFAULT_HEARTBEAT_MS),
                bounds.path("ConfigApplyMs").asLong(DEFAULT_CONFIG_APPLY_MS),
                bounds.path("RetryBudgetRatio").asDouble(DEFAULT_RETRY_RATIO),
                ms(bounds.path("BudgetWindowS").asDouble(DEFAULT_RETRY_WINDOW_S)),
                bounds.path("BudgetSlack").asDouble(0),
                bounds.path("stall_ms").asLong(DEFAULT_STALL_MS),
                bounds.path("RequireFencing").asBoolean(false));
    }

    private static long ms(double seconds) {
        return (long) (seconds * MS_PER_SECOND);
    }

    private static Optional<HttpAddress> address(JsonNode node) {
        return node.isTextual()
                ? Optional.of(HttpAddress.parse(node.textValue()))
                : Optional.empty();
    }

    private static String required(JsonNode root, String name) {
        JsonNode value = root.path(name);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw missing(name);
        }
        return value.textValue();
    }

    private static IllegalArgumentException missing(String name) {
        return new IllegalArgumentException(
                "settings file has no '" + name + "'; the platform must set it");
    }
}
