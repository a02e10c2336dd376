package io.pollenpath.protocol;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import io.pollenpath.util.ValidationErrors;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class DeclarationRulesTest {

    private static final YAMLMapper YAML = new YAMLMapper();
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final String CONTRACT =
            """
            {apiVersion: pollenpath.io/v1, kind: Contract, metadata: {name: a}, spec: {
              keyDigests: [%s], share: 1, requestsPerSecond: 10, burst: 5, maxConcurrent: 9,
              retryBudget: 0.5, defaultKind: {priority: normal, repeatable: true, deadlineMs: 1}}}
            """
                    .formatted("0f".repeat(32));
    private static final String SERVER =
            "{apiVersion: pollenpath.io/v1, kind: BackendServer, metadata: {name: a}, spec: {role:"
                    + " engine, target: m, zone: z, sideHost: 10.0.0.1, sidePort: 1}}";
    private static final String GROUP =
            "{apiVersion: pollenpath.io/v1, kind: RankGroup, metadata: {name: a}, spec: {model: m,"
                    + " ranks: [b, c], layers: 1, expertsPerLayer: 4, expertSlotsPerRank: 2}}";
    private static final String SERVICE =
            "{apiVersion: pollenpath.io/v1, kind: Service, metadata: {name: a}, spec: {timeoutMs:"
                    + " 1, repeatable: false, calls: [{method: GET, path: /, repeatable: true}]}}";
    private static final String POLICY =
            "{apiVersion: pollenpath.io/v1, kind: Policy, metadata: {name: deployment}, spec:"
                    + " {skewWeight: 0.5, rebalanceIntervalMs: 100, movedBytesPerSecond: 0}}";

    /** One faulty declaration: a text of a valid one, what replaces it, and what must be said. */
    private record Row(String valid, String text, String replacement, String expected) {}

    private static final List<Row> ROWS =
            List.of(
                    new Row(CONTRACT, "kind: Contract", "kind: Contrakt", "mean 'Contract'?"),
                    new Row(CONTRACT, "io/v1", "io/v2", "apiVersion is \"pollenpath.io/v2\""),
                    new Row(CONTRACT, "name: a", "name: A", "set lower-case letters"),
                    new Row(CONTRACT, "{name: a}", "{}", "metadata.name is missing"),
                    new Row(CONTRACT, "{name: a}", "{name: a, resourceVersion: 7}", "in quotes"),
                    new Row(CONTRACT, "share: 1", "share: 0", "set a number above 0"),
                    new Row(CONTRACT, "share: 1", "share: much", "set a number above 0"),
                    new Row(CONTRACT, "share: 1", "shares: 1", "did you mean 'share'?"),
                    new Row(CONTRACT, "share: 1,", "", "spec.share is missing; set it"),
                    new Row(CONTRACT, "Second: 10", "Second: -1", "set a number above 0"),
                    new Row(CONTRACT, "burst: 5", "burst: 0", "a whole number between 1 and"),
                    new Row(CONTRACT, "burst: 5", "burst: 1.5", "a whole number between 1 and"),
                    new Row(CONTRACT, "burst: 5", "burst: '5'", "a whole number between 1 and"),
                    new Row(CONTRACT, "burst: 5", "burst: 5, brust: 6", "did you mean 'burst'?"),
                    new Row(CONTRACT, "Concurrent: 9", "Concurrent: 1000001", "between 1 and"),
                    new Row(CONTRACT, "Budget: 0.5", "Budget: 1.1", "between 0.0 and 1.0"),
                    new Row(CONTRACT, "[0f", "[xf", "from pollenpath hash-key"),
                    new Row(CONTRACT, "keyDigests: [", "keyDigests: [0f, ", "keyDigests[0] is"),
                    new Row(CONTRACT, "priority: normal", "priority: high", "use urgent or normal"),
                    new Row(CONTRACT, "repeatable: true", "repeatable: 1", "set true or false"),
                    new Row(CONTRACT, "deadlineMs: 1", "deadlineMs: 3600001", "between 1 and"),
                    new Row(CONTRACT, "deadlineMs: 1}", "deadlineMs: 1}, kinds: {Up: {}}", "'Up'"),
                    new Row(SERVER, "role: engine", "role: motor", "use engine or service"),
                    new Row(SERVER, "10.0.0.1", "10.0.0.256", "set an IP number"),
                    new Row(SERVER, "10.0.0.1", "localhost", "set an IP number"),
                    new Row(SERVER, "sidePort: 1", "sidePort: 65536", "between 1 and 65535"),
                    new Row(SERVER, "sidePort: 1", "sidePrt: 1", "did you mean 'sidePort'?"),
                    new Row(SERVER, "target: m", "target: ''", "set letters, digits"),
                    new Row(SERVER, "sidePort: 1", "sidePort: 1, drained: no way", "true or false"),
                    new Row(GROUP, "[b, c]", "[b, b]", "ranks[1] repeats \"b\"; keep one"),
                    new Row(GROUP, "[b, c]", "[]", "list 1 to 1024 items"),
                    new Row(GROUP, "layers: 1", "layers: 0", "between 1 and 1024"),
                    new Row(SERVICE, "method: GET", "method: GOT", "use GET or HEAD"),
                    new Row(SERVICE, "path: /", "path: x", "set a path from / on"),
                    new Row(SERVICE, "timeoutMs: 1", "timeoutMs: 0", "between 1 and"),
                    new Row(SERVICE, "calls: [", "calls: [7, ", "write an object"),
                    new Row(POLICY, "name: deployment", "name: other", "use deployment"),
                    new Row(POLICY, "skewWeight: 0.5", "skewWeight: 2", "between 0.0 and 1.0"),
                    new Row(POLICY, "skewWeight: 0.5", "skewWight: 1", "mean 'skewWeight'?"),
                    new Row(POLICY, "IntervalMs: 100", "IntervalMs: 99", "between 100 and"),
                    new Row(POLICY, "spec:", "sepc:", "did you mean 'spec'?"));

    private static JsonSchema schema() throws IOException {
        try (InputStream in = DeclarationRules.schema()) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        }
    }

    private static List<String> faults(JsonNode document) {
        ValidationErrors faults = new ValidationErrors();
        DeclarationRules.check(document, faults);
        return faults.messages();
    }

    private static List<JsonNode> examples() throws IOException {
        List<JsonNode> documents = new ArrayList<>();
        try (Stream<Path> files = Files.list(EXAMPLES)) {
            for (Path file : files.sorted().toList()) {
                YAML.readerFor(JsonNode.class)
                        .<JsonNode>readValues(file.toFile())
                        .forEachRemaining(documents::add);
            }
        }
        return documents;
    }

    @Test
    void examplesAndMinimalDeclarationsAreAcceptedByRulesAndSchema() throws IOException {
        List<JsonNode> documents = examples();
        assertThat(documents).hasSize(8);
        for (String text : List.of(CONTRACT, SERVER, GROUP, SERVICE, POLICY)) {
            documents.add(YAML.readTree(text));
        }
        JsonSchema schema = schema();
        for (JsonNode document : documents) {
            assertWithMessage("%s", document).that(faults(document)).isEmpty();
            assertWithMessage("%s", document).that(schema.validate(document)).isEmpty();
        }
    }

    @Test
    void eachFaultIsRefusedByRulesAndSchema() throws IOException {
        JsonSchema schema = schema();
        for (Row row : ROWS) {
            assertWithMessage("%s", row).that(row.valid()).contains(row.text());
            JsonNode document = YAML.readTree(row.valid().replace(row.text(), row.replacement()));
            String said = String.join("\n", faults(document));
            assertWithMessage("%s", row).that(said).contains(row.expected());
            assertWithMessage("%s", row).that(schema.validate(document)).isNotEmpty();
        }
    }

    @Test
    void rulesOverSeveralFieldsAreChecked() throws IOException {
        JsonNode document =
                YAML.readTree(GROUP.replace("expertsPerLayer: 4", "expertsPerLayer: 5"));
        assertThat(faults(document).get(0)).contains("too few for 5 experts on 2 ranks; raise it");
    }

    @Test
    void allFaultsOfADeclarationAreReportedTogether() throws IOException {
        JsonNode document =
                YAML.readTree(CONTRACT.replace("burst: 5", "burst: 0").replace("share: 1", "s: 1"));
        assertThat(faults(document)).hasSize(3);
    }
}
