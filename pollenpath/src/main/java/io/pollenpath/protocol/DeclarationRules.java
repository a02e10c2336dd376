package io.pollenpath.protocol;

import static io.pollenpath.protocol.FieldRules.flag;
import static io.pollenpath.protocol.FieldRules.list;
import static io.pollenpath.protocol.FieldRules.map;
import static io.pollenpath.protocol.FieldRules.number;
import static io.pollenpath.protocol.FieldRules.oneOf;
import static io.pollenpath.protocol.FieldRules.positive;
import static io.pollenpath.protocol.FieldRules.text;
import static io.pollenpath.protocol.FieldRules.whole;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.state.DeploymentPolicy;
import io.pollenpath.state.RequestKind;
import io.pollenpath.util.NearestName;
import io.pollenpath.util.ValidationErrors;
import java.io.InputStream;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks what operators declare; the JSON schema beside it states the same rules for editors. */
public final class DeclarationRules {

    private static final String SCHEMA = "declarations.schema.json";
    private static final int MAX_PORT = 65_535;
    private static final int MAX_COUNT = 1_000_000;
    private static final double MAX_RATE = 1_000_000;
    private static final double MAX_SHARE = 1_000_000;
    private static final int MAX_KEYS = 16;
    private static final int MAX_RANKS = 1_024;
    private static final int MAX_LAYERS = 1_024;
    private static final int MAX_EXPERTS = 65_536;
    private static final int MAX_CALLS = 256;
    private static final int MIN_REBALANCE_MS = 100;
    private static final int MAX_REBALANCE_MS = 86_400_000;
    private static final long MAX_MOVED_BYTES = 1_000_000_000_000L;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

    private static final FieldRule NAME =
            text(
                    Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"),
                    "lower-case letters, digits and hyphens, at most 63");
    private static final FieldRule TARGET =
            text(
                    Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?"),
                    "letters, digits, dots, hyphens and underscores, at most 128");
    private static final FieldRule DIGEST =
            text(
                    Pattern.compile("[0-9a-f]{64}"),
                    "the SHA-256 digest of the key, 64 lower-case hexadecimal digits, from"
                            + " pollenpath hash-key");
    private static final FieldRule IP =
            text(Pattern.compile("(" + OCTET + "\\.){3}" + OCTET), "an IP number");
    private static final FieldRule ANY_OBJECT =
            (path, value, faults) ->
                    faults.addIf(!value.isObject(), path + " is not an object; remove it");

    private static final ObjectRule REQUEST_KIND =
            new ObjectRule()
                    .required("priority", oneOf("urgent", "normal", "batch"))
                    .required("repeatable", flag())
                    .required("deadlineMs", whole(1, RequestKind.MAX_DEADLINE_MS));
    private static final ObjectRule CONTRACT =
            new ObjectRule()
                    .required("keyDigests", list(DIGEST, 0, MAX_KEYS))
                    .required("share", positive(MAX_SHARE))
                    .required("requestsPerSecond", positive(MAX_RATE))
                    .required("burst", whole(1, MAX_COUNT))
                    .required("maxConcurrent", whole(1, MAX_COUNT))
                    .optional("retryBudget", number(0, 1))
                    .required("defaultKind", REQUEST_KIND)
                    .optional(
                            "kinds",
                            map(
                                    Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"),
                                    "lower-case letters, digits and hyphens",
                                    REQUEST_KIND));
    private static final ObjectRule BACKEND_SERVER =
            new ObjectRule()
                    .required("role", oneOf("engine", "service"))
                    .required("target", TARGET)
                    .required("zone", NAME)
                    .required("sideHost", IP)
                    .required("sidePort", whole(1, MAX_PORT))
                    .optional("drained", flag());
    private static final ObjectRule RANK_GROUP =
            new ObjectRule()
                    .required("model", TARGET)
                    .required("ranks", list(NAME, 1, MAX_RANKS))
                    .required("layers", whole(1, MAX_LAYERS))
                    .required("expertsPerLayer", whole(1, MAX_EXPERTS))
                    .required("expertSlotsPerRank", whole(1, MAX_EXPERTS));
    private static final ObjectRule SERVICE_CALL =
            new ObjectRule()
                    .required("method", oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))
                    .required("path", text(Pattern.compile("/[!-~]{0,255}"), "a path from / on"))
                    .required("repeatable", flag());
    private static final ObjectRule SERVICE =
            new ObjectRule()
                    .required("timeoutMs", whole(1, RequestKind.MAX_DEADLINE_MS))
                    .required("repeatable", flag())
                    .optional("calls", list(SERVICE_CALL, 0, MAX_CALLS));
    private static final ObjectRule POLICY =
            new ObjectRule()
                    .required("skewWeight", number(0, 1))
                    .optional("rebalanceIntervalMs", whole(MIN_REBALANCE_MS, MAX_REBALANCE_MS))
                    .optional("movedBytesPerSecond", whole(0, MAX_MOVED_BYTES));

    private DeclarationRules() {}

    /**
     * Checks a declaration.
     *
     * @param document the declaration as an operator wrote it, not null
     * @param faults takes all that is wrong, each with its remedy, not null
     */
    public static void check(JsonNode document, ValidationErrors faults) {
        String kindName = document.path("kind").asText("");
        Optional<DeclarationKind> kind = DeclarationKind.find(kindName);
        if (kind.isEmpty()) {
            faults.add(
                    "kind '"
                            + kindName
                            + "' is unknown; "
                            + NearestName.suggestion(kindName, DeclarationKind.names()));
            return;
        }
        ValidationErrors found = new ValidationErrors();
        envelope(kind.get()).check("", document, found);
        if (found.isEmpty()) {
            checkTogether(kind.get(), document, found);
        }
        String label = kindName + "/" + document.path("metadata").path("name").asText("?") + ": ";
        found.messages().forEach(message -> faults.add(label + message));
    }

    /**
     * Opens the JSON schema that states the same rules.
     *
     * @return the UTF-8 document, to be closed by the caller
     */
    public static InputStream schema() {
        return DeclarationRules.class.getResourceAsStream(SCHEMA);
    }

    private static ObjectRule envelope(DeclarationKind kind) {
        FieldRule name = kind == DeclarationKind.POLICY ? oneOf(DeploymentPolicy.NAME) : NAME;
        return new ObjectRule()
                .required("apiVersion", oneOf(ApiObject.API_VERSION))
                .required("kind", oneOf(kind.kindName()))
                .required(
                        "metadata",
                        new ObjectRule()
                                .required("name", name)
                                .optional(
                                        "resourceVersion",
                                        text(
                                                Pattern.compile("[0-9]{1,18}"),
                                                "the version that get printed, in quotes"))
                                .optional("annotations", ANY_OBJECT))
                .required("spec", specOf(kind))
                .optional("status", ANY_OBJECT);
    }

    private static ObjectRule specOf(DeclarationKind kind) {
        return switch (kind) {
            case CONTRACT -> CONTRACT;
            case BACKEND_SERVER -> BACKEND_SERVER;
            case RANK_GROUP -> RANK_GROUP;
            case SERVICE -> SERVICE;
            case POLICY -> POLICY;
        };
    }

    private static void checkTogether(
            DeclarationKind kind, JsonNode document, ValidationErrors faults) {
        try {
            Declarations.convert(kind, ApiObject.fromJson(document));
        } catch (IllegalArgumentException e) {
            faults.add(e.getMessage());
        }
    }
}
