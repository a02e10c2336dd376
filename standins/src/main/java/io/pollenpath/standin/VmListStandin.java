package io.pollenpath.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Stands in for an inventory of VMs, which shows each change only after a delay. {@code PUT
 * /vms/NAME?state=live} (or {@code leaving}) sets the state of a VM and {@code state=gone} removes
 * it; {@code GET /vms} lists the VMs.
 */
public final class VmListStandin implements AutoCloseable {

    private final HttpServer server;
    private final int lagMs;
    private final Map<String, String> visibleStates = new TreeMap<>();

    /**
     * Starts listening on the loopback address.
     *
     * @param loops the event loops, not null
     * @param port the port, 0 for any free port
     * @param lagMs the delay before the list shows a change, in milliseconds
     */
    public VmListStandin(NettyLoops loops, int port, int lagMs) {
        this.lagMs = lagMs;
        server = new HttpServer(loops, "127.0.0.1", port, HttpLimits.DEFAULT, this::handle);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        if (call.method().equals("PUT")) {
            String name = call.path().substring("/vms/".length());
            String state = call.parameter("state");
            exchange.loop().schedule(() -> applyChange(name, state), lagMs, TimeUnit.MILLISECONDS);
            exchange.respond(202, "application/json", Map.of(), Json.bytes(Json.object()));
        } else {
            exchange.respond(200, "application/json", Map.of(), Json.bytes(listVms()));
        }
    }

    private synchronized void applyChange(String name, String state) {
        if (state.equals("gone")) {
            visibleStates.remove(name);
        } else {
            visibleStates.put(name, state);
        }
    }

    private synchronized ObjectNode listVms() {
        ObjectNode node = Json.object();
        ArrayNode vms = node.putArray("vms");
        visibleStates.forEach(
                (name, state) -> vms.addObject().put("name", name).put("state", state));
        return node;
    }

    @Override
    public void close() {
        server.close();
    }
}
