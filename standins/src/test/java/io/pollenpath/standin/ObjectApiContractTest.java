package io.pollenpath.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.protocol.ObjectApiException.Kind;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpObjectApi;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Contract tests of the Object API. They run against the stand-in, or against the address in the
 * environment variable POLLENPATH_CONTRACT_OBJECT_API.
 */
class ObjectApiContractTest {

    private static final String KIND = "Probe";
    private static final int TIMEOUT_MS = 1_000;
    private static final long WAIT_S = 10;

    private final NettyLoops loops = new NettyLoops(2);
    private final HttpClient client = new HttpClient(loops);
    private ObjectApiStandin standin;
    private ObjectApi api;

    @BeforeEach
    void start() {
        String configured = System.getenv("POLLENPATH_CONTRACT_OBJECT_API");
        standin = new ObjectApiStandin(loops, 0);
        HttpAddress address =
                configured == null
                        ? new HttpAddress("127.0.0.1", standin.port())
                        : HttpAddress.parse(configured);
        api = new HttpObjectApi(client, address, TIMEOUT_MS);
    }

    @AfterEach
    void stop() {
        standin.close();
        client.close();
        loops.close();
    }

    private static ApiObject probe(String name, int value) {
        return ApiObject.of(KIND, name, Json.object().put("value", value));
    }

    private static Kind failure(CompletableFuture<?> call) {
        CompletionException e = assertThrows(CompletionException.class, call::join);
        return ((ObjectApiException) e.getCause()).kind();
    }

    @Test
    void createIsConditionalOnAbsence() {
        assertThat(api.create(probe("a", 1)).join().version()).isGreaterThan(0);
        assertThat(failure(api.create(probe("a", 2)))).isEqualTo(Kind.CONFLICT);
        assertThat(api.get(KIND, "a").join().spec().path("value").asInt()).isEqualTo(1);
    }

    @Test
    void updateIsConditionalOnVersion() {
        ApiObject first = api.create(probe("a", 1)).join();
        ApiObject second = api.update(first.withSpec(Json.object().put("value", 2))).join();
        assertThat(second.version()).isGreaterThan(first.version());
        assertThat(failure(api.update(first))).isEqualTo(Kind.CONFLICT);
        assertThat(failure(api.delete(KIND, "a", first.version()))).isEqualTo(Kind.CONFLICT);
    }

    @Test
    void missingObjectIsNotFound() {
        assertThat(failure(api.get(KIND, "none"))).isEqualTo(Kind.NOT_FOUND);
    }

    @Test
    void watchContinuesListing() throws InterruptedException {
        api.create(probe("a", 1)).join();
        ObjectApi.Listing listing = api.list(KIND).join();
        BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
        api.watch(KIND, listing.revision(), new Recorder(notifications));
        ApiObject b = api.create(probe("b", 1)).join();
        api.delete(KIND, "b", b.version()).join();
        assertThat(notifications.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("changed b");
        assertThat(notifications.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("deleted b");
    }

    @Test
    void watchAfterHistoryGapEndsWithGone() throws InterruptedException {
        api.create(probe("a", 1)).join();
        api.create(probe("b", 1)).join();
        standin.dropHistoryAndWatches();
        BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
        api.watch(KIND, 1, new Recorder(notifications));
        assertThat(notifications.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo("closed GONE");
    }

    @Test
    void lostAnswerOfWriteHasUnknownOutcomeAndMayHaveTakenEffect() {
        standin.setFault("lost", 0);
        assertThat(failure(api.create(probe("a", 1)))).isEqualTo(Kind.OUTCOME_UNKNOWN);
        assertThat(api.get(KIND, "a").join().version()).isGreaterThan(0);
    }

    @Test
    void slowWriteHasUnknownOutcomeAndSlowReadIsUnavailable() {
        standin.setFault("slow", 3 * TIMEOUT_MS);
        assertThat(failure(api.create(probe("a", 1)))).isEqualTo(Kind.OUTCOME_UNKNOWN);
        assertThat(failure(api.get(KIND, "a"))).isEqualTo(Kind.UNAVAILABLE);
    }

    private record Recorder(BlockingQueue<String> notifications)
            implements ObjectApi.WatchListener {
        @Override
        public void onChanged(ApiObject object) {
            notifications.add("changed " + object.name());
        }

        @Override
        public void onDeleted(ApiObject object) {
            notifications.add("deleted " + object.name());
        }

        @Override
        public void onBookmark(long revision) {
            notifications.add("bookmark");
        }

        @Override
        public void onClosed(ObjectApiException cause) {
            notifications.add("closed " + cause.kind());
        }
    }
}
