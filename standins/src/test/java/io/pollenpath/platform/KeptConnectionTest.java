package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.standin.platform.EngineFault;
import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests that follow each other on one connection of a caller. */
class KeptConnectionTest {

    private static final long WORK_MS = 200;
    private static final long APPLY_MS = 5_000;
    private static final int OVER_LIMIT = 70_000;
    private static final int RAISED_LIMIT = 6_000_000;
    private static final int BODY_BYTES = 5_000_000;
    private static final int LOWERED_LIMIT = 1_000;

    private PlatformEngineStandin engine;
    private EntryFleet fleet;

    @BeforeEach
    void start() throws IOException {
        ObjectNode manifest = PlatformFixtures.manifest(1, EntryFleet.SERVICE);
        fleet = new EntryFleet(1, manifest, this::startEngine);
    }

    private List<PlatformEngineStandin> startEngine(PlatformStoreStandin store) throws IOException {
        engine = new PlatformEngineStandin("engine-0", 0, this::work);
        store.put(
                StoreKinds.SERVERS,
                "engine-0",
                PlatformFixtures.serverEntry(EntryFleet.SERVICE, engine.port()));
        return List.of(engine);
    }

    private EngineFault work(PlatformEngineStandin.ReceivedRequest request) {
        Pause.forMs(request.path().startsWith("/once/slow") ? WORK_MS : 0);
        return EngineFault.NONE;
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    private RawCaller connect() throws IOException {
        return new RawCaller(fleet.callerAddress(0));
    }

    /** Guards against a refusal that a caller takes for the answer to the request before it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void refusesAfterTheAnswersBefore(boolean chunked) throws IOException {
        String tooLong = "b".repeat(OVER_LIMIT);
        String second =
                chunked
                        ? RawCaller.chunkedRequest("second", "/once/b", tooLong, 5_000)
                        : RawCaller.request("second", "/once/b", tooLong);
        try (RawCaller caller = connect()) {
            caller.send(RawCaller.request("first", "/once/slow", "{}") + second);
            caller.send(RawCaller.request("third", "/once/c", "{}"));
            assertThat(caller.read().body()).isEqualTo("engine-0 /once/slow");
            assertThat(caller.read().status()).isEqualTo(413);
            assertThat(caller.read().body()).isEqualTo("engine-0 /once/c");
        }
        assertThat(runs("second")).isEqualTo(0);
    }

    /** Guards against leave for a body that comes in the middle of the answer before it. */
    @Test
    void allowsABodyAfterTheAnswersBefore() throws IOException {
        String expecting =
                RawCaller.head("second", "/once/b", "Content-Length: 2", "Expect: 100-continue");
        try (RawCaller caller = connect()) {
            caller.send(RawCaller.request("first", "/once/slow", "{}") + expecting);
            assertThat(caller.read().status()).isEqualTo(200);
            assertThat(caller.read().status()).isEqualTo(100);
            caller.send("{}");
            assertThat(caller.read().body()).isEqualTo("engine-0 /once/b");
            caller.send(RawCaller.request("third", "/once/c", "{}"));
            assertThat(caller.read().body()).isEqualTo("engine-0 /once/c");
        }
    }

    /** Guards against a body limit that stays as it was when the connection was opened. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void appliesARaisedBodyLimit(boolean chunked) throws IOException {
        String body = "b".repeat(BODY_BYTES);
        try (RawCaller caller = connect()) {
            caller.send(RawCaller.request("first", "/once/a", "{}"));
            assertThat(caller.read().status()).isEqualTo(200);
            setBodyLimit(RAISED_LIMIT);
            caller.send(
                    chunked
                            ? RawCaller.chunkedRequest("long", "/once/b", body, 50_000)
                            : RawCaller.request("long", "/once/b", body));
            assertThat(caller.read().status()).isEqualTo(200);
        }
        assertThat(bodiesOf("long")).containsExactly(body);
    }

    /** Guards against a body limit that stays as it was when the connection was opened. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void appliesALoweredBodyLimit(boolean chunked) throws IOException {
        String body = "b".repeat(2 * LOWERED_LIMIT);
        try (RawCaller caller = connect()) {
            caller.send(RawCaller.request("first", "/once/a", "{}"));
            assertThat(caller.read().status()).isEqualTo(200);
            setBodyLimit(LOWERED_LIMIT);
            caller.send(
                    chunked
                            ? RawCaller.chunkedRequest("long", "/once/b", body, 100)
                            : RawCaller.request("long", "/once/b", body));
            caller.send(RawCaller.request("third", "/once/c", "{}"));
            assertThat(caller.read().status()).isEqualTo(413);
            assertThat(caller.read().status()).isEqualTo(200);
        }
        assertThat(runs("long")).isEqualTo(0);
    }

    /** Guards against a request that is read from the bytes behind one that can't be decoded. */
    @Test
    void servesNothingBehindARequestThatCannotBeDecoded() throws IOException {
        try (RawCaller caller = connect()) {
            caller.send(
                    RawCaller.request("first", "/once/slow", "{}")
                            + RawCaller.head("second", "/once/b", "no field")
                            + RawCaller.request("third", "/once/c", "{}"));
            assertThat(caller.read().body()).isEqualTo("engine-0 /once/slow");
            assertThat(caller.read().status()).isEqualTo(400);
            assertThat(caller.isClosedByEntry()).isTrue();
        }
        assertThat(runs("third")).isEqualTo(0);
    }

    private void setBodyLimit(int maxBodyBytes) {
        ObjectNode manifest =
                PlatformFixtures.manifestWithRoute(2, EntryFleet.SERVICE, "second-version");
        manifest.withObject("/Limits").put("MaxBodyBytes", maxBodyBytes);
        fleet.store().put(StoreKinds.CONFIG, StoreKinds.NEWEST_CONFIG, manifest);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(APPLY_MS);
        int status = 0;
        while (status != 200 && System.nanoTime() < endNanos) {
            status = fleet.call(0, "probe", "/second-version/x").status();
            Pause.forMs(20);
        }
        assertWithMessage("the second version is in force").that(status).isEqualTo(200);
    }

    private int runs(String requestId) {
        return bodiesOf(requestId).size();
    }

    private List<String> bodiesOf(String requestId) {
        List<String> bodies = new ArrayList<>();
        for (PlatformEngineStandin.ReceivedRequest request : engine.received()) {
            if (request.header("request-id").equals(requestId)) {
                bodies.add(request.body());
            }
        }
        return bodies;
    }
}
