package io.pollenpath.cli;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.Declarations;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.util.Json;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class DrainCommandsTest {

    private static final Instant NOW = Instant.ofEpochSecond(1);

    private final InMemoryObjectApi api = new InMemoryObjectApi();
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

    private DrainCommands commandsOf(String name) {
        PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);
        return new DrainCommands(api, out, name);
    }

    private String printed() {
        return printed.toString(StandardCharsets.UTF_8);
    }

    private boolean isDrained() {
        return Declarations.isDrained(api.get(Declarations.DRAIN, "s").join());
    }

    @Test
    void repeatedDrainPrintsFirstOperator() {
        commandsOf("ann").set("s", true, NOW);
        commandsOf("bea").set("s", true, NOW);
        assertThat(isDrained()).isTrue();
        assertThat(printed()).contains("change=none drained=true operator=ann");
    }

    @Test
    void conflictingUpdateReportsStoredChange() {
        commandsOf("ann").set("s", true, NOW);
        commandsOf("ann").set("s", false, NOW);
        api.beforeWrite = () -> commandsOf("bea").set("s", true, NOW);
        DrainCommands cid = commandsOf("cid");
        Instant later = NOW.plusSeconds(1);
        CompletionException conflict =
                assertThrows(CompletionException.class, () -> cid.set("s", true, later));
        assertThat(isDrained()).isTrue();
        assertThat(conflict).hasCauseThat().hasMessageThat().contains("'bea' set drained=true");
    }

    @Test
    void conflictingCreateReportsStoredChange() {
        api.beforeWrite = () -> commandsOf("bea").set("s", true, NOW);
        DrainCommands cid = commandsOf("cid");
        CompletionException conflict =
                assertThrows(CompletionException.class, () -> cid.set("s", true, NOW));
        assertThat(conflict).hasCauseThat().hasMessageThat().contains("'bea' set drained=true");
    }

    @Test
    void lostAnswerIsResolvedByReadingAgain() {
        api.loseAnswer = true;
        commandsOf("ann").set("s", true, NOW);
        assertThat(isDrained()).isTrue();
        assertThat(printed()).contains("change=updated");
    }

    /** An Object API in memory that can run an action before the next write or lose answers. */
    private static final class InMemoryObjectApi implements ObjectApi {
        private final Map<String, ApiObject> objects = new HashMap<>();
        private Runnable beforeWrite = () -> {};
        private boolean loseAnswer;
        private long revision = 1;

        InMemoryObjectApi() {
            ApiObject server = ApiObject.of(Declarations.BACKEND_SERVER, "s", Json.object());
            objects.put(Declarations.BACKEND_SERVER + "/s", server);
        }

        private static <T> CompletableFuture<T> failed(ObjectApiException.Kind kind) {
            return CompletableFuture.failedFuture(new ObjectApiException(kind, "failed"));
        }

        @Override
        public CompletableFuture<ApiObject> get(String kind, String name) {
            ApiObject stored = objects.get(kind + "/" + name);
            return stored == null
                    ? failed(ObjectApiException.Kind.NOT_FOUND)
                    : CompletableFuture.completedFuture(stored);
        }

        private CompletableFuture<ApiObject> write(ApiObject object, long expectedVersion) {
            Runnable before = beforeWrite;
            beforeWrite = () -> {};
            before.run();
            String key = object.kind() + "/" + object.name();
            long storedVersion = objects.containsKey(key) ? objects.get(key).version() : 0;
            if (storedVersion != expectedVersion) {
                return failed(ObjectApiException.Kind.CONFLICT);
            }
            revision++;
            objects.put(key, object.withVersion(revision));
            return loseAnswer
                    ? failed(ObjectApiException.Kind.OUTCOME_UNKNOWN)
                    : CompletableFuture.completedFuture(objects.get(key));
        }

        @Override
        public CompletableFuture<ApiObject> create(ApiObject object) {
            return write(object, 0);
        }

        @Override
        public CompletableFuture<ApiObject> update(ApiObject object) {
            return write(object, object.version());
        }

        @Override
        public CompletableFuture<Listing> list(String kind) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<ApiObject> delete(String kind, String name, long version) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Watch watch(String kind, long fromRevision, WatchListener listener) {
            throw new UnsupportedOperationException();
        }
    }
}
