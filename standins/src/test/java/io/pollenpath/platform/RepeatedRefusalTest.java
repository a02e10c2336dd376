package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests servers that write an earlier refusal once more on a connection that they keep. */
class RepeatedRefusalTest {

    private static final int CALLS = 40;
    private static final int ENGINES = 2;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** The requests that an engine has refused, the last of which it refuses once more. */
    private final class Engine {
        private String refusal = "";
        private int received;

        /** Refuses each third request; what comes then begins with that refusal once more. */
        private synchronized String answer(PlatformEngineStandin.ReceivedRequest request) {
            String id = request.header("request-id");
            String head = "\r\nRequest-Id: " + id + "\r\nKeep-Alive: timeout=30\r\n";
            String earlier = refusal;
            refusal = "";
            received++;
            if (received % 3 == 0) {
                refusal =
                        "HTTP/1.1 503 Full" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                return earlier + refusal;
            }
            runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            return earlier
                    + "HTTP/1.1 200 OK"
                    + head
                    + "Upstream-Signature: proof\r\nContent-Length: "
                    + id.length()
                    + "\r\n\r\n"
                    + id;
        }
    }

    private List<ScriptedEngine> startEngines(PlatformStoreStandin store) throws IOException {
        List<ScriptedEngine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new ScriptedEngine("engine-" + i, store, new Engine()::answer));
        }
        return engines;
    }

    /** Guards against a refusal that is taken for the answer to a request that runs. */
    @Test
    void aRefusalIsOfTheRequestThatItNames() throws IOException {
        try (EntryFleet fleet =
                new EntryFleet(
                        1, PlatformFixtures.manifest(1, EntryFleet.SERVICE), this::startEngines)) {
            int refused = 0;
            for (int i = 0; i < CALLS; i++) {
                String id = "once-" + i;
                EntryFleet.Answer answer = fleet.call(0, id, "/once/letter");
                int ran = runs.containsKey(id) ? runs.get(id).get() : 0;
                assertWithMessage(answer.toString()).that(answer.status()).isAnyOf(200, 503);
                assertWithMessage(answer.toString())
                        .that(ran)
                        .isEqualTo(answer.status() == 200 ? 1 : 0);
                assertThat(answer.status() == 200 ? answer.body() : id).isEqualTo(id);
                refused += answer.status() == 503 ? 1 : 0;
            }
            assertThat(refused).isGreaterThan(0);
        }
    }
}
