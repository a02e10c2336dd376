package io.pollenpath.transport.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.state.Contract;
import io.pollenpath.state.Executed;
import io.pollenpath.state.RequestKind;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.util.Digests;
import io.pollenpath.util.Json;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Parses calls into requests: identity, contract, target and the fields that routing needs. */
final class RequestReader {

    private static final String SERVICES = "/services/";
    private static final String MODELS = "/v1/";
    private static final String BEARER = "Bearer ";
    private static final String DEADLINE = "pollenpath-deadline-ms";
    private static final int PREFIX_CHARS = 256;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int MAX_TOKENS_LIMIT = 1_048_576;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_UNAUTHORIZED = 401;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;
    private static final int STATUS_UNSUPPORTED_MEDIA = 415;
    private static final int STATUS_TIMEOUT = 504;

    private final String idPrefix;
    private final AtomicLong nextId = new AtomicLong();

    /**
     * Creates a reader.
     *
     * @param idPrefix the prefix of every request id, unique among entry processes, not null
     */
    RequestReader(String idPrefix) {
        this.idPrefix = idPrefix;
    }

    /**
     * Parses and validates a call.
     *
     * @throws ProblemException if the call is invalid; nothing was run
     */
    CallerRequest read(HttpCall call, ConfigSnapshot config, long nowNanos) {
        Contract contract = contractOf(call, config);
        RequestKind kind = kindOf(call, contract);
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMs(call, kind));
        boolean service = call.path().startsWith(SERVICES);
        if (!service && !call.path().startsWith(MODELS)) {
            throw rejected(
                    STATUS_NOT_FOUND, "unknown_path", "use POST /v1/completions or /services/");
        }
        requirePost(call);
        String requestId = idPrefix + nextId.incrementAndGet();
        return service
                ? serviceRequest(call, contract, kind, requestId, deadlineNanos)
                : modelRequest(call, contract, kind, requestId, deadlineNanos);
    }

    /**
     * Returns the contract whose key is in the {@code Authorization} header of a call.
     *
     * @throws ProblemException if there is no key or no contract has it
     */
    static Contract contractOf(HttpCall call, ConfigSnapshot config) {
        String authorization = call.header("authorization");
        if (!authorization.startsWith(BEARER)) {
            throw rejected(
                    STATUS_UNAUTHORIZED, "key_missing", "send Authorization: Bearer and your key");
        }
        return config.contractByKey(authorization.substring(BEARER.length()).trim())
                .orElseThrow(
                        () ->
                                rejected(
                                        STATUS_UNAUTHORIZED,
                                        "unknown_customer",
                                        "no contract has this key; ask the operator for one"));
    }

    private static RequestKind kindOf(HttpCall call, Contract contract) {
        String name = call.header("pollenpath-kind");
        RequestKind kind = contract.kind(name);
        if (kind == null) {
            throw rejected(
                    STATUS_BAD_REQUEST,
                    "unknown_kind",
                    "the contract has no kind '" + name + "'; use one that it lists");
        }
        return kind;
    }

    /** Returns the timeout that the caller asks for, limited by its contract, in milliseconds. */
    private static long deadlineMs(HttpCall call, RequestKind kind) {
        String text = call.header(DEADLINE).trim();
        if (text.isEmpty()) {
            return kind.deadlineMs();
        }
        long requestedMs;
        try {
            requestedMs = Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw rejected(
                    STATUS_BAD_REQUEST,
                    "malformed_deadline",
                    "send Pollenpath-Deadline-Ms as whole milliseconds from now");
        }
        if (requestedMs <= 0) {
            throw new ProblemException(
                    new Problem(
                            STATUS_TIMEOUT,
                            "deadline_exceeded",
                            "the deadline passed before the request was read; send a later one",
                            Executed.NO,
                            0));
        }
        return Math.min(requestedMs, kind.deadlineMs());
    }

    private static void requirePost(HttpCall call) {
        if (!call.method().equals("POST")) {
            throw rejected(STATUS_METHOD_NOT_ALLOWED, "method_not_allowed", "use POST");
        }
        String encoding = call.header("content-encoding");
        if (!encoding.isEmpty() && !encoding.equalsIgnoreCase("identity")) {
            throw rejected(
                    STATUS_UNSUPPORTED_MEDIA,
                    "unsupported_encoding",
                    "send the body without Content-Encoding");
        }
    }

    private static CallerRequest serviceRequest(
            HttpCall call, Contract contract, RequestKind kind, String id, long deadlineNanos) {
        String rest = call.path().substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        String target = call.query().isEmpty() ? path : path + "?" + call.query();
        return new CallerRequest(
                id, contract, kind, service, target, call.body(), false, 1, 0, deadlineNanos, "");
    }

    private static CallerRequest modelRequest(
            HttpCall call, Contract contract, RequestKind kind, String id, long deadlineNanos) {
        JsonNode body = parse(call.body());
        String prompt = text(body, "prompt");
        int costTokens = prompt.length() / CHARS_PER_TOKEN + maxTokens(body);
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
        return new CallerRequest(
                id,
                contract,
                kind,
                model(body),
                call.path(),
                call.body(),
                stream(body),
                costTokens,
                Digests.hash64(prefix),
                deadlineNanos,
                "");
    }

    private static JsonNode parse(byte[] bytes) {
        JsonNode body;
        try {
            body = Json.parse(bytes);
        } catch (IllegalArgumentException e) {
            throw rejected(STATUS_BAD_REQUEST, "malformed_body", e.getMessage());
        }
        if (!body.isObject()) {
            throw rejected(STATUS_BAD_REQUEST, "malformed_body", "send one JSON object");
        }
        return body;
    }

    private static String model(JsonNode body) {
        String model = text(body, "model");
        if (model.isEmpty()) {
            throw rejected(STATUS_BAD_REQUEST, "model_missing", "set the field 'model'");
        }
        return model;
    }

    private static String text(JsonNode body, String field) {
        JsonNode value = body.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return "";
        }
        if (!value.isTextual()) {
            throw wrongField(field, "a string");
        }
        return value.textValue();
    }

    private static boolean stream(JsonNode body) {
        JsonNode value = body.path("stream");
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw wrongField("stream", "true or false");
        }
        return value.booleanValue();
    }

    private static int maxTokens(JsonNode body) {
        JsonNode value = body.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        boolean whole = value.isIntegralNumber() && value.canConvertToInt();
        if (!whole || value.intValue() < 1 || value.intValue() > MAX_TOKENS_LIMIT) {
            throw wrongField("max_tokens", "a whole number from 1 to " + MAX_TOKENS_LIMIT);
        }
        return value.intValue();
    }

    private static ProblemException wrongField(String field, String expected) {
        return rejected(
                STATUS_BAD_REQUEST, "wrong_field", "set the field '" + field + "' to " + expected);
    }

    private static ProblemException rejected(int status, String code, String detail) {
        return new ProblemException(Problem.rejected(status, code, detail));
    }
}
