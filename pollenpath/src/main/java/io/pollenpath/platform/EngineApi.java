package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.transport.group.CommandTimeouts;
import io.pollenpath.transport.group.EngineControl;
import io.pollenpath.util.Json;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Queries one engine and sends it commands over the platform's HTTP API. */
final class EngineApi implements EngineControl {

    private static final Logger LOG = LoggerFactory.getLogger(EngineApi.class);
    private static final long CALL_TIMEOUT_MS = 150;
    private static final double USUAL_PACE = 1;
    private static final byte[] NO_BODY = new byte[0];
    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_PRECONDITION_FAILED = 412;

    private final HttpClient http;
    private final HttpAddress address;
    private final boolean local;
    private final AtomicBoolean silent = new AtomicBoolean();

    private EngineApi(HttpClient http, HttpAddress address, boolean local) {
        this.http = http;
        this.address = address;
        this.local = local;
    }

    /** Creates a client of the engine on the same VM, whose answers need no network. */
    static EngineApi local(HttpClient http, HttpAddress address) {
        return new EngineApi(http, address, true);
    }

    /** Creates a client of an engine on another VM. */
    static EngineApi remote(HttpClient http, HttpAddress address) {
        return new EngineApi(http, address, false);
    }

    @Override
    public CompletableFuture<RankStatus> status() {
        return get("/api/report").thenApply(EngineApi::decodeStatus);
    }

    /**
     * Decodes the platform's report of an engine into the status of a rank.
     *
     * @throws IllegalArgumentException if the engine belongs to no rank group
     */
    static RankStatus decodeStatus(JsonNode report) {
        JsonNode group = report.path("group");
        if (!group.path("Name").isTextual()) {
            throw new IllegalArgumentException("the engine belongs to no rank group");
        }
        JsonNode armed = report.path("Armed");
        return new RankStatus(
                group.path("Name").textValue(),
                group.path("epoch").asLong(),
                group.path("rank").asInt(),
                report.path("size").asInt(),
                group.path("State").asText("").equals("open"),
                report.path("step").asLong(),
                report.path("Map").asLong(),
                optionalLong(report.path("Prepared")),
                armed.isObject()
                        ? Optional.of(
                                new ArmedMap(
                                        armed.path("Version").asLong(),
                                        armed.path("step").asLong()))
                        : Optional.empty(),
                optionalLong(report.path("held")),
                report.path("Busy").asBoolean(),
                slowdown(report.path("pace")));
    }

    private static double slowdown(JsonNode pace) {
        return pace.isNumber() && pace.asDouble() > 0 ? pace.asDouble() : USUAL_PACE;
    }

    private static OptionalLong optionalLong(JsonNode node) {
        return node.isIntegralNumber() ? OptionalLong.of(node.asLong()) : OptionalLong.empty();
    }

    @Override
    public CompletableFuture<long[]> counts() {
        return get("/api/picked")
                .thenApply(
                        response -> {
                            JsonNode counts = response.path("Counts");
                            long[] values = new long[counts.size()];
                            for (int i = 0; i < values.length; i++) {
                                values[i] = counts.get(i).asLong();
                            }
                            return values;
                        });
    }

    @Override
    public CompletableFuture<List<List<Integer>>> experts() {
        return get("/api/picked?Lists=1")
                .thenApply(
                        response -> {
                            List<List<Integer>> layers = new ArrayList<>();
                            for (JsonNode layer : response.path("Map").path("Experts")) {
                                List<Integer> experts = new ArrayList<>();
                                layer.forEach(expert -> experts.add(expert.asInt()));
                                layers.add(experts);
                            }
                            return layers;
                        });
    }

    private CompletableFuture<JsonNode> get(String path) {
        return http.send(new HttpClient.Request(address, "GET", path, Map.of(), NO_BODY))
                .orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenApply(reply -> decode(path, reply));
    }

    private static JsonNode decode(String path, HttpReply reply) {
        if (reply.status() != STATUS_OK) {
            throw new IllegalStateException(path + " answered with HTTP status " + reply.status());
        }
        return Json.parse(reply.body());
    }

    @Override
    public CompletableFuture<CommandResult> send(EngineCommand command, long epoch, long token) {
        byte[] body = Json.bytes(encode(command, epoch, token));
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        long timeoutMs =
                local ? CommandTimeouts.localMs(command) : CommandTimeouts.remoteMs(command);
        return http.send(new HttpClient.Request(address, "POST", "/api/order", headers, body))
                .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .handle(this::toResult);
    }

    private CommandResult toResult(HttpReply reply, Throwable failure) {
        logChange(failure);
        if (failure != null) {
            return CommandResult.UNKNOWN;
        }
        return switch (reply.status()) {
            case STATUS_OK, STATUS_ACCEPTED -> CommandResult.ACCEPTED;
            case STATUS_CONFLICT -> CommandResult.REJECTED;
            case STATUS_PRECONDITION_FAILED -> CommandResult.FENCED;
            default -> CommandResult.UNKNOWN;
        };
    }

    /** Logs the first order without an answer, and the first answer after it. */
    private void logChange(Throwable failure) {
        boolean nowSilent = failure != null;
        if (silent.getAndSet(nowSilent) != nowSilent) {
            LOG.info(
                    "{}",
                    LogLine.event(nowSilent ? "engine_order_unanswered" : "engine_order_answered")
                            .with("engine", address)
                            .with("cause", failure));
        }
    }

    /**
     * Encodes a command as the body of the platform's call {@code /api/order}. The operation {@code
     * go} releases a held step; the other operations are named as in the product.
     */
    static ObjectNode encode(EngineCommand command, long epoch, long token) {
        ObjectNode body = Json.object();
        if (command instanceof EngineCommand.Prepare prepare) {
            body.put("Op", "prepare").put("Version", prepare.version());
            body.set("Map", encodeMap(prepare.map()));
        } else if (command instanceof EngineCommand.Hold hold) {
            body.put("Op", "Hold").put("step", hold.step());
        } else if (command instanceof EngineCommand.Arm arm) {
            body.put("Op", "arm").put("Version", arm.version()).put("step", arm.step());
        } else if (command instanceof EngineCommand.Release release) {
            body.put("Op", "go").put("step", release.step());
        } else if (command instanceof EngineCommand.Disarm disarm) {
            body.put("Op", "disarm").put("Version", disarm.version());
        }
        return body.put("epoch", epoch).put("FencingToken", token);
    }

    private static ArrayNode encodeMap(ExpertMap map) {
        ArrayNode layers = Json.mapper().createArrayNode();
        for (List<List<Integer>> ranks : map.layers()) {
            ArrayNode layer = layers.addArray();
            for (List<Integer> experts : ranks) {
                ArrayNode list = layer.addArray();
                experts.forEach(list::add);
            }
        }
        return layers;
    }
}
