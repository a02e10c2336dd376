package io.pollenpath.protocol;

import static io.pollenpath.protocol.FieldRules.bool;
import static io.pollenpath.protocol.FieldRules.integer;
import static io.pollenpath.protocol.FieldRules.list;
import static io.pollenpath.protocol.FieldRules.map;
import static io.pollenpath.protocol.FieldRules.number;
import static io.pollenpath.protocol.FieldRules.oneOf;
import static io.pollenpath.protocol.FieldRules.positive;
import static io.pollenpath.protocol.FieldRules.text;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.state.DeploymentPolicy;
import io.pollenpath.state.RequestKind;
import io.pollenpath.util.NearestName;
import io.pollenpath.util.ValidationErrors;
import java.io.InputStream;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validates the declarations of operators. The JSON schema in {@code declarations.schema.json}
 * states the same rules for editors.
 */
public final class DeclarationRules {

    private static final String SCHEMA = "declarations.schema.json";
    private static final int MAX_PORT = 65_535;
    private static final int MAX_COUNT = 1_000_000;
    private static final double MAX_REQUESTS_PER_SECOND = 1_000_000;
    private static final double MAX_SHARE = 1_000_000;
    private static final int MAX_KEY_DIGESTS = 16;
    private static final int MAX_RANKS = 1_024;
    private static final int MAX_LAYERS = 1_024;
    private static final int MAX_EXPERTS = 65_536;
    private static final int MAX_CALLS = 256;
    private static final int MIN_REBALANCE_INTERVAL_MS = 100;
    private static final int MAX_REBALANCE_INTERVAL_MS = 86_400_000;
    private static final long MAX_MOVED_BYTES_PER_SECOND = 1_000_000_000_000L;
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
            text(Pattern.compile("(" + OCTET + "\\.){3}" + OCTET), "an IPv4 address");
    private static final FieldRule ANY_OBJECT =
            (path, value, errors) ->
                    errors.addIf(!value.isObject(), path + " is not an object; remove it");

    private static final ObjectRule REQUEST_KIND =
            new ObjectRule()
                    .required("priority", oneOf("urgent", "normal", "batch"))
                    .required("repeatable", bool())
                    .required("deadlineMs", integer(1, RequestKind.MAX_DEADLINE_MS));
    private static final ObjectRule CONTRACT =
            new ObjectRule()
                    .required("keyDigests", list(DIGEST, 0, MAX_KEY_DIGESTS))
                    .required("share", positive(MAX_SHARE))
                    .required("requestsPerSecond", positive(MAX_REQUESTS_PER_SECOND))
                    .required("burst", integer(1, MAX_COUNT))
                    .required("maxConcurrent", integer(1, MAX_COUNT))
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
                    .required("sidePort", integer(1, MAX_PORT))
                    .optional("drained", bool());
    private static final ObjectRule RANK_GROUP =
            new ObjectRule()
                    .required("model", TARGET)
                    .required("ranks", list(NAME, 1, MAX_RANKS))
                    .required("layers", integer(1, MAX_LAYERS))
                    .required("expertsPerLayer", integer(1, MAX_EXPERTS))
                    .required("expertSlotsPerRank", integer(1, MAX_EXPERTS));
    private static final ObjectRule SERVICE_CALL =
            new ObjectRule()
                    .required("method", oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))
                    .required(
                            "path",
                            text(Pattern.compile("/[!-~]{0,255}"), "a path that starts with /"))
                    .required("repeatable", bool());
    private static final ObjectRule SERVICE =
            new ObjectRule()
                    .required("timeoutMs", integer(1, RequestKind.MAX_DEADLINE_MS))
                    .required("repeatable", bool())
                    .optional("calls", list(SERVICE_CALL, 0, MAX_CALLS));
    private static final ObjectRule POLICY =
            new ObjectRule()
                    .required("skewWeight", number(0, 1))
                    .optional(
                            "rebalanceIntervalMs",
                            integer(MIN_REBALANCE_INTERVAL_MS, MAX_REBALANCE_INTERVAL_MS))
                    .optional("movedBytesPerSecond", integer(0, MAX_MOVED_BYTES_PER_SECOND));

    private DeclarationRules() {}

    /**
     * Validates a declaration.
     *
     * @param document the declaration as written by an operator, not null
     * @param errors receives every error found, with its remedy, not null
     */
    public static void check(JsonNode document, ValidationErrors errors) {
        String kindName = document.path("kind").asText("");
        Optional<DeclarationKind> kind = DeclarationKind.find(kindName);
        if (kind.isEmpty()) {
            errors.add(
                    "kind '"
                            + kindName
                            + "' is unknown; "
                            + NearestName.suggestion(kindName, DeclarationKind.names()));
            return;
        }
        ValidationErrors documentErrors = new ValidationErrors();
        envelope(kind.get()).check("", document, documentErrors);
        if (documentErrors.isEmpty()) {
            checkAcrossFields(kind.get(), document, documentErrors);
        }
        String label = kindName + "/" + document.path("metadata").path("name").asText("?") + ": ";
        documentErrors.messages().forEach(message -> errors.add(label + message));
    }

    /**
     * Opens the JSON schema with the same rules.
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
                                                "the version printed by get, in quotes"))
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

    private static void checkAcrossFields(
            DeclarationKind kind, JsonNode document, ValidationErrors errors) {
        try {
            Declarations.convert(kind, ApiObject.fromJson(document));
        } catch (IllegalArgumentException e) {
            errors.add(e.getMessage());
        }
    }
}
