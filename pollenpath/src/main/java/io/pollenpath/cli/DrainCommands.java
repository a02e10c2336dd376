package io.pollenpath.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.Declarations;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.util.Json;
import io.pollenpath.util.LogLine;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * Drains and undrains backend servers. The requested state is stored in a separate object, so that
 * applying the declaration of the server again does not undo it. When two operators change the
 * state concurrently, the one whose write fails gets an error that names the other's change.
 */
final class DrainCommands {

    private final ObjectApi api;
    private final PrintStream out;
    private final String operator;

    DrainCommands(ObjectApi api, PrintStream out, String operator) {
        this.api = api;
        this.out = out;
        this.operator = operator;
    }

    /**
     * Sets whether a backend server must be drained.
     *
     * @throws CompletionException if the server does not exist, the Object API fails, or another
     *     operator has changed the state at the same time; the message says how to proceed
     */
    void set(String server, boolean drained, Instant now) {
        api.get(Declarations.BACKEND_SERVER, server).join();
        Optional<ApiObject> stored = find(server);
        if (stored.map(Declarations::isDrained).orElse(false) == drained) {
            print("none", server, drained, stored);
            return;
        }
        ObjectNode spec = spec(drained, now);
        try {
            ApiObject written =
                    stored.isEmpty()
                            ? api.create(ApiObject.of(Declarations.DRAIN, server, spec)).join()
                            : api.update(stored.get().withSpec(spec)).join();
            print("updated", server, drained, Optional.of(written));
        } catch (CompletionException e) {
            resolve(server, drained, spec, e);
        }
    }

    private ObjectNode spec(boolean drained, Instant now) {
        return Json.object()
                .put("drained", drained)
                .put("operator", operator)
                .put("at", now.toString());
    }

    private Optional<ApiObject> find(String server) {
        try {
            return Optional.of(api.get(Declarations.DRAIN, server).join());
        } catch (CompletionException e) {
            if (kindOf(e) == ObjectApiException.Kind.NOT_FOUND) {
                return Optional.empty();
            }
            throw e;
        }
    }

    private static ObjectApiException.Kind kindOf(CompletionException failure) {
        return failure.getCause() instanceof ObjectApiException cause ? cause.kind() : null;
    }

    /** Reads the stored state again after a conflicting write or a lost answer. */
    private void resolve(
            String server, boolean drained, ObjectNode spec, CompletionException failure) {
        ObjectApiException.Kind kind = kindOf(failure);
        if (kind != ObjectApiException.Kind.CONFLICT
                && kind != ObjectApiException.Kind.OUTCOME_UNKNOWN) {
            throw failure;
        }
        Optional<ApiObject> stored = find(server);
        if (stored.isPresent() && stored.get().spec().equals(spec)) {
            print("updated", server, drained, stored);
        } else if (stored.isPresent() && kind == ObjectApiException.Kind.CONFLICT) {
            throw conflictException(server, stored.get());
        } else {
            throw failure;
        }
    }

    private static CompletionException conflictException(String server, ApiObject stored) {
        return new CompletionException(
                new ObjectApiException(
                        ObjectApiException.Kind.CONFLICT,
                        "your change of server '"
                                + server
                                + "' was not made: operator '"
                                + stored.spec().path("operator").asText()
                                + "' set drained="
                                + Declarations.isDrained(stored)
                                + " at "
                                + stored.spec().path("at").asText()
                                + "; send the command again to replace it"));
    }

    private void print(String change, String server, boolean drained, Optional<ApiObject> stored) {
        LogLine line =
                LogLine.event("drain")
                        .with("server", server)
                        .with("change", change)
                        .with("drained", drained);
        stored.ifPresent(
                object ->
                        line.with("operator", object.spec().path("operator").asText())
                                .with("at", object.spec().path("at").asText())
                                .with("version", object.version()));
        out.println(line);
    }
}
