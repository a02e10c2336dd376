package io.pollenpath.cli;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.util.Json;
import io.pollenpath.util.ValidationErrors;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletionException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OperatorTest {

    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final String NAME = "Contract/alpha";
    private static final String CONTRACT =
            """
            apiVersion: pollenpath.io/v1
            kind: Contract
            metadata: {name: alpha%s}
            spec:
              keyDigests: [%s]
              share: %s
              requestsPerSecond: 10
              burst: %s
              maxConcurrent: 9
              defaultKind: {priority: normal, repeatable: true, deadlineMs: 1000}
            """;

    @TempDir Path directory;
    private FakeObjectApi api = new FakeObjectApi();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void reset() {
        api = new FakeObjectApi();
    }

    private Operator operator() {
        out.reset();
        err.reset();
        return new Operator(
                api,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private static String contract(Object share, Object burst, String metadata) {
        return CONTRACT.formatted(metadata, "0f".repeat(32), share, burst);
    }

    private Path file(Object share, Object burst) throws IOException {
        return Files.writeString(directory.resolve("a.yaml"), contract(share, burst, ""));
    }

    private int apply(String who, Path path, boolean overwrite) throws IOException {
        return operator().apply(path, new ApplyPlan.Mode(who, overwrite), false);
    }

    private int apply(String who, Path path) throws IOException {
        return apply(who, path, false);
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private int stored(String field) {
        return api.objects.get(NAME).spec().path(field).asInt();
    }

    private ApplyConflictException conflict(String who, Path path) {
        return assertThrows(ApplyConflictException.class, () -> apply(who, path));
    }

    @Test
    void secondApplyWritesNothing() throws IOException {
        assertThat(apply("ann", EXAMPLES)).isEqualTo(ExitCodes.OK);
        assertThat(api.objects).hasSize(8);
        int writes = api.writes;
        assertThat(apply("ann", EXAMPLES)).isEqualTo(ExitCodes.OK);
        assertThat(api.writes).isEqualTo(writes);
        assertThat(out()).contains("object=Contract/integrity change=none");
    }

    @Property(tries = 40, seed = "7")
    void repeatedApplyWritesNothing(@ForAll List<@IntRange(min = 1, max = 3) Integer> bursts) {
        FakeObjectApi own = new FakeObjectApi();
        Applier applier = new Applier(own, new ApplyPlan.Mode("ann", false));
        int last = 0;
        for (int burst : bursts) {
            ApiObject declared =
                    ApiObject.of("Contract", "alpha", Json.object().put("burst", burst));
            int before = own.writes;
            List<Declaration> declarations = List.of(new Declaration("file", declared));
            applier.plan(declarations, new ValidationErrors()).forEach(applier::write);
            assertThat(own.writes - before).isEqualTo(burst == last ? 0 : 1);
            assertThat(own.objects.get(NAME).spec()).isEqualTo(declared.spec());
            last = burst;
        }
    }

    @Test
    void everythingIsCheckedBeforeAnythingIsWritten() throws IOException {
        Files.writeString(directory.resolve("a.yaml"), contract(1, 1, ""));
        Files.writeString(directory.resolve("b.yaml"), contract(1, 0, "").replace("alpha", "beta"));
        Files.writeString(directory.resolve("c.yaml"), "a: [");
        Files.writeString(directory.resolve("d.yaml"), contract(1, 2, ""));
        assertThat(apply("ann", directory)).isEqualTo(ExitCodes.USAGE);
        String said = err.toString(StandardCharsets.UTF_8);
        assertThat(said).contains("Contract/beta: spec.burst is 0; set a whole number");
        assertThat(said).contains("; mend the YAML");
        assertThat(said).contains("Contract/alpha is declared in");
        assertThat(api.writes).isEqualTo(0);
    }

    @Test
    void keyOfAnotherStoredCustomerIsRefused() throws IOException {
        apply("ann", file(1, 1));
        Path other =
                Files.writeString(
                        directory.resolve("a.yaml"), contract(1, 1, "").replace("alpha", "beta"));
        assertThat(apply("ann", other)).isEqualTo(ExitCodes.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("give each customer its own key");
    }

    @Test
    void oldFileOverNewerChangeOfAnotherIsConflictWithBothVersions() throws IOException {
        apply("ann", file(1, 10));
        apply("bob", file(1, 10));
        assertThat(apply("bob", file(1, 20))).isEqualTo(ExitCodes.OK);
        ApplyConflictException e = conflict("ann", file(1, 10));
        new ApplyReport(new PrintStream(out), new PrintStream(err, true, StandardCharsets.UTF_8))
                .conflicts(e.plans());
        String said = err.toString(StandardCharsets.UTF_8);
        assertThat(said).contains("field=spec.burst stored=20 declared=10 last_applied=10");
        assertThat(said).contains("burst: 20");
        assertThat(said).contains("burst: 10");
        assertThat(stored("burst")).isEqualTo(20);
        assertThat(apply("ann", file(1, 10), true)).isEqualTo(ExitCodes.OK);
        assertThat(stored("burst")).isEqualTo(10);
    }

    @Test
    void changesOfDifferentFieldsAreMerged() throws IOException {
        apply("ann", file(1, 10));
        apply("bob", file(1, 10));
        apply("bob", file(1, 20));
        conflict("ann", file(5, 10));
        assertThat(apply("ann", file(5, 20))).isEqualTo(ExitCodes.OK);
        assertThat(stored("share")).isEqualTo(5);
        assertThat(stored("burst")).isEqualTo(20);
    }

    @Test
    void fieldsThatTheFileNeverHadAreKept() throws IOException {
        apply("ann", EXAMPLES);
        ApiObject applied = api.objects.get("BackendServer/engine-1");
        ObjectNode spec = applied.spec().deepCopy();
        api.update(applied.withSpec(spec.put("drained", true))).join();
        assertThat(apply("ann", EXAMPLES)).isEqualTo(ExitCodes.OK);
        ApiObject server = api.objects.get("BackendServer/engine-1");
        assertThat(server.spec().path("drained").asBoolean()).isTrue();
        assertThat(out()).contains("object=BackendServer/engine-1 change=none");
    }

    @Test
    void resourceVersionOfTheFileMustBeTheStoredOne() throws IOException {
        apply("ann", file(1, 10));
        long seen = api.objects.get(NAME).version();
        apply("bob", file(1, 10));
        Path path = directory.resolve("v.yaml");
        Files.writeString(path, contract(1, 30, ", resourceVersion: '" + seen + "'"));
        conflict("cid", path);
        long now = api.objects.get(NAME).version();
        Files.writeString(path, contract(1, 30, ", resourceVersion: '" + now + "'"));
        assertThat(apply("cid", path)).isEqualTo(ExitCodes.OK);
        assertThat(stored("burst")).isEqualTo(30);
        assertThat(apply("cid", path)).isEqualTo(ExitCodes.OK);
    }

    @Test
    void changeBetweenReadAndWriteIsConflict() throws IOException {
        apply("ann", file(1, 10));
        Path path = file(1, 30);
        api.beforeNextWrite =
                () -> {
                    ApiObject held = api.objects.get(NAME);
                    ObjectNode spec = held.spec().deepCopy();
                    api.update(held.withSpec(spec.put("burst", 99))).join();
                };
        conflict("ann", path);
        assertThat(stored("burst")).isEqualTo(99);
    }

    @Test
    void lostAnswersAreResolvedByReadingBack() throws IOException {
        api.loseNextAnswer = true;
        assertThat(apply("ann", file(1, 10))).isEqualTo(ExitCodes.OK);
        assertThat(out()).contains("change=created version=1 confirmed=read_back");
        assertThat(api.writes).isEqualTo(1);
        api.loseNextRequest = true;
        assertThat(apply("ann", file(1, 20))).isEqualTo(ExitCodes.OK);
        assertThat(stored("burst")).isEqualTo(20);
        assertThat(api.writes).isEqualTo(2);
    }

    @Test
    void dryRunShowsFieldsAndWritesNothing() throws IOException {
        apply("ann", file(1, 10));
        int writes = api.writes;
        operator().apply(file(1, 20), new ApplyPlan.Mode("ann", false), true);
        assertThat(out()).contains("  field=spec.burst stored=10 declared=20");
        assertThat(api.writes).isEqualTo(writes);
    }

    @Test
    void printedYamlCanBeApplied() throws IOException {
        apply("ann", file(1, 10));
        operator().get("Contract", "alpha", true);
        Path path = Files.writeString(directory.resolve("a.yaml"), out());
        assertThat(out()).contains("resourceVersion: \"1\"");
        assertThat(apply("bob", path)).isEqualTo(ExitCodes.OK);
        CompletionException e =
                assertThrows(
                        CompletionException.class, () -> operator().get("Contract", "none", true));
        assertThat(((ObjectApiException) e.getCause()).kind())
                .isEqualTo(ObjectApiException.Kind.NOT_FOUND);
    }
}
