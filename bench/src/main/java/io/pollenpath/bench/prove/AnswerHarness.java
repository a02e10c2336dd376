package io.pollenpath.bench.prove;

import io.pollenpath.coordination.routing.LeastInFlightRouter;
import io.pollenpath.state.BackendServer;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.state.Contract;
import io.pollenpath.state.PriorityClass;
import io.pollenpath.state.RequestKind;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.PeerHandler;
import io.pollenpath.transport.PeerServer;
import io.pollenpath.transport.Traces;
import io.pollenpath.transport.entry.DeliveryLimits;
import io.pollenpath.transport.entry.EntryHandler;
import io.pollenpath.transport.entry.EntryOptions;
import io.pollenpath.transport.side.AnswerLimits;
import io.pollenpath.transport.side.SideOptions;
import io.pollenpath.transport.side.SideProcess;
import io.pollenpath.util.Digests;
import io.pollenpath.util.Json;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs two entries and one side process for each backend server within this process; they talk over
 * the loopback address.
 */
final class AnswerHarness implements AutoCloseable {

    /** The API key of the customer that sends the requests. */
    static final String KEY = "alpha-key";

    /** The API key of a second customer. */
    static final String OTHER_KEY = "beta-key";

    private static final String HOST = "127.0.0.1";
    private static final int ENTRIES = 2;
    private static final int MAX_READY_POLLS = 2_000;
    private static final int DEADLINE_MS = 60_000;
    private static final int RETENTION_MS = 60_000;
    private static final int MAX_RUNNING = 64;

    private final NettyLoops loops = new NettyLoops(2);
    private final HttpClient client = new HttpClient(loops);
    private final Traces traces = new Traces("proof", "");
    private final List<SideProcess> sides = new ArrayList<>();
    private final List<PeerServer> sideServers = new ArrayList<>();
    private final List<FaultyRelay> relays = new ArrayList<>();
    private final List<EntryHandler> entries = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();

    /**
     * Starts the side processes and the entries, and waits until the entries are ready.
     *
     * @param backends the backend servers; each gets its own side process
     * @param faults the faults injected into the links; null to connect without a relay
     * @param delivery the limits of the entries for answers that they deliver
     * @param answers the limits of the side processes for answers that they retain
     * @param seed the seed of the fault injection
     * @throws IOException if an entry does not become ready in time
     */
    AnswerHarness(
            List<ScriptedBackend> backends,
            FaultyRelay.Faults faults,
            DeliveryLimits delivery,
            AnswerLimits answers,
            long seed)
            throws IOException {
        List<BackendServer> declared = new ArrayList<>();
        for (ScriptedBackend backend : backends) {
            String name = "server-" + sides.size();
            int port = addSide(name, backend, answers);
            if (faults != null) {
                relays.add(new FaultyRelay(loops, port, faults, seed));
                port = relays.get(relays.size() - 1).port();
            }
            declared.add(
                    new BackendServer(
                            name, BackendServer.Role.ENGINE, "model", "zone-a", HOST, port, false));
        }
        ConfigSnapshot config =
                new ConfigSnapshot(
                        1, List.of(contract("alpha", KEY), contract("beta", OTHER_KEY)), declared);
        for (int i = 0; i < ENTRIES; i++) {
            addEntry("entry-" + i, delivery, config);
        }
        for (EntryHandler entry : entries) {
            awaitReady(entry);
        }
    }

    private int addSide(String name, ScriptedBackend backend, AnswerLimits answers) {
        SideOptions options =
                new SideOptions(name, "zone-a", MAX_RUNNING, MAX_RUNNING, RETENTION_MS, answers);
        SideProcess side = new SideProcess(options, backend, traces);
        sides.add(side);
        PeerServer server = new PeerServer(loops, HOST, 0, side);
        sideServers.add(server);
        return server.port();
    }

    private void addEntry(String name, DeliveryLimits delivery, ConfigSnapshot config) {
        EntryOptions options = new EntryOptions(name, "zone-a", 3, delivery, 1);
        EntryHandler entry =
                new EntryHandler(
                        options,
                        loops,
                        new LeastInFlightRouter(),
                        new RefusingRunClaimStore(),
                        traces,
                        PeerHandler.ignoring());
        entry.onConfig(config);
        entries.add(entry);
        servers.add(new HttpServer(loops, HOST, 0, HttpLimits.DEFAULT, entry));
    }

    private static Contract contract(String customer, String key) {
        RequestKind kind = new RequestKind("normal", PriorityClass.NORMAL, true, DEADLINE_MS);
        RequestKind filing = new RequestKind("filing", PriorityClass.NORMAL, false, DEADLINE_MS);
        return new Contract(
                customer,
                List.of(Digests.sha256Hex(key)),
                1,
                1_000_000,
                1_000_000,
                1_000_000,
                1,
                kind,
                Map.of("filing", filing));
    }

    private static void awaitReady(EntryHandler entry) throws IOException {
        for (int i = 0; !entry.isReady(); i++) {
            if (i == MAX_READY_POLLS) {
                throw new IOException("an entry did not become ready: it reached no side process");
            }
            Pause.forMs(5);
        }
    }

    /** Builds the JSON body of a completion request. */
    static byte[] completionBody(String prompt, boolean stream) {
        return Json.bytes(
                Json.object().put("model", "model").put("prompt", prompt).put("stream", stream));
    }

    HttpClient client() {
        return client;
    }

    /** Builds a completion request of the first customer to an entry. */
    HttpClient.Request post(int entry, byte[] body, Map<String, String> headers) {
        return request(entry, "POST", "/v1/completions", KEY, body, headers);
    }

    /**
     * Builds a request that resumes an answer after an event.
     *
     * @param entry the index of the entry
     * @param key the API key of the customer
     * @param lastEventId the id of the last event received, which contains the request id
     * @param postBody the body of the original request, to resume by repeating the POST; null to
     *     resume by GET
     * @return the request
     */
    HttpClient.Request resume(int entry, String key, String lastEventId, byte[] postBody) {
        Map<String, String> headers = Map.of("last-event-id", lastEventId);
        if (postBody != null) {
            return request(entry, "POST", "/v1/completions", key, postBody, headers);
        }
        int idStart = lastEventId.indexOf('.');
        String id = lastEventId.substring(idStart + 1, lastEventId.lastIndexOf('.'));
        return request(entry, "GET", "/v1/requests/" + id, key, new byte[0], headers);
    }

    private HttpClient.Request request(
            int entry,
            String method,
            String path,
            String key,
            byte[] body,
            Map<String, String> headers) {
        Map<String, String> allHeaders = new HashMap<>(headers);
        allHeaders.put("authorization", "Bearer " + key);
        HttpAddress address = new HttpAddress(HOST, servers.get(entry).port());
        return new HttpClient.Request(address, method, path, allHeaders, body);
    }

    /** Stops the side processes abruptly, as a crash would, while the entries keep running. */
    void crashSides() {
        sideServers.forEach(PeerServer::close);
        sides.forEach(SideProcess::close);
    }

    @Override
    public void close() {
        client.close();
        servers.forEach(HttpServer::close);
        entries.forEach(EntryHandler::close);
        relays.forEach(FaultyRelay::close);
        crashSides();
        traces.close();
        loops.close();
    }
}
