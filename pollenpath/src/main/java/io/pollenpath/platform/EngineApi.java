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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks and orders one engine in the platform's protocol. */
final class EngineApi implements EngineControl {

    private static final Logger LOG = LoggerFactory.getLogger(EngineApi.class);
    private static final long TIMEOUT_MS = 150;
    private static final byte[] NO_BODY = new byte[0];
    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_FENCED = 412;

    private final HttpClient http;
    private final HttpAddress address;

    EngineApi(HttpClient http, HttpAddress address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public CompletableFuture<RankStatus> status() {
        return get("/api/report").thenApply(EngineApi::decodeStatus);
    }

    /** Decodes the report of an engine; fails if the engine is no rank. */
    static RankStatus decodeStatus(JsonNode report) {
        JsonNode group = report.path("group");
        if (!group.path("Name").isTextual()) {
            throw new IllegalArgumentException("the engine is no rank of a group");
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
                number(report.path("Prepared")),
                armed.isObject()
                        ? Optional.of(
                                new ArmedMap(
                                        armed.path("Version").asLong(),
                                        armed.path("step").asLong()))
                        : Optional.empty(),
                number(report.path("held")),
                report.path("Busy").asBoolean());
    }

    private static OptionalLong number(JsonNode node) {
        return node.isIntegralNumber() ? OptionalLong.of(node.asLong()) : OptionalLong.empty();
    }

    @Override
    public CompletableFuture<long[]> counts() {
        return get("/api/picked")
                .thenApply(
                        answer -> {
                            JsonNode counts = answer.path("Counts");
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
                        answer -> {
                            List<List<Integer>> layers = new ArrayList<>();
                            for (JsonNode layer : answer.path("Map").path("Experts")) {
                                List<Integer> experts = new ArrayList<>();
                                layer.forEach(expert -> experts.add(expert.asInt()));
                                layers.add(experts);
                            }
                            return layers;
                        });
    }

    private CompletableFuture<JsonNode> get(String path) {
        return http.send(new HttpClient.Request(address, "GET", path, Map.of(), NO_BODY))
                .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenApply(reply -> decode(path, reply));
    }

    private static JsonNode decode(String path, HttpReply reply) {
        if (reply.status() != STATUS_OK) {
            throw new IllegalStateException(path + " got " + reply.status());
        }
        return Json.parse(reply.body());
    }

    @Override
    public CompletableFuture<CommandResult> send(EngineCommand order, long epoch, long token) {
        byte[] body = Json.bytes(encode(order, epoch, token));
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return http.send(new HttpClient.Request(address, "POST", "/api/order", headers, body))
                .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .handle((reply, failure) -> outcome(reply, failure));
    }

    private static CommandResult outcome(HttpReply reply, Throwable failure) {
        if (failure != null) {
            LOG.info("{}", LogLine.event("engine_order_unanswered").with("cause", failure));
            return CommandResult.UNKNOWN;
        }
        return switch (reply.status()) {
            case STATUS_OK, STATUS_ACCEPTED -> CommandResult.ACCEPTED;
            case STATUS_CONFLICT -> CommandResult.REJECTED;
            case STATUS_FENCED -> CommandResult.FENCED;
            default -> CommandResult.UNKNOWN;
        };
    }

    /** Encodes an order. */
    static ObjectNode encode(EngineCommand order, long epoch, long token) {
        ObjectNode body = Json.object();
        if (order instanceof EngineCommand.Prepare prepare) {
            body.put("Op", "prepare").put("Version", prepare.version());
            body.set("Map", encodeMap(prepare.map()));
        } else if (order instanceof EngineCommand.Hold hold) {
            body.put("Op", "Hold").put("step", hold.step());
        } else if (order instanceof EngineCommand.Arm arm) {
            body.put("Op", "arm").put("Version", arm.version()).put("step", arm.step());
        } else if (order instanceof EngineCommand.Release release) {
            body.put("Op", "go").put("step", release.step());
        } else if (order instanceof EngineCommand.Disarm disarm) {
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
