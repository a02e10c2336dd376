package io.pollenpath.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.util.Json;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/** Client of an Object API that follows the Kubernetes API conventions. */
public final class HttpObjectApi implements ObjectApi {

    private static final String API_ROOT = "/apis/" + ApiObject.API_VERSION + "/";
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_GONE = 410;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_MULTIPLE_CHOICES = 300;
    private static final byte[] NO_BODY = {};

    private final HttpClient client;
    private final HttpAddress address;
    private final int timeoutMs;

    /**
     * Creates a client.
     *
     * @param client sends the HTTP requests, not null
     * @param address the address of the Object API, not null
     * @param timeoutMs the timeout of a call other than a watch, in milliseconds
     */
    public HttpObjectApi(HttpClient client, HttpAddress address, int timeoutMs) {
        this.client = client;
        this.address = address;
        this.timeoutMs = timeoutMs;
    }

    @Override
    public CompletableFuture<Listing> list(String kind) {
        return call("GET", collectionPath(kind), NO_BODY).thenApply(HttpObjectApi::toListing);
    }

    @Override
    public CompletableFuture<ApiObject> get(String kind, String name) {
        return call("GET", itemPath(kind, name), NO_BODY).thenApply(ApiObject::fromJson);
    }

    @Override
    public CompletableFuture<ApiObject> create(ApiObject object) {
        byte[] body = Json.bytes(object.withVersion(0).toJson());
        return call("POST", collectionPath(object.kind()), body).thenApply(ApiObject::fromJson);
    }

    @Override
    public CompletableFuture<ApiObject> update(ApiObject object) {
        byte[] body = Json.bytes(object.toJson());
        String path = itemPath(object.kind(), object.name());
        return call("PUT", path, body).thenApply(ApiObject::fromJson);
    }

    @Override
    public CompletableFuture<ApiObject> delete(String kind, String name, long version) {
        String path = itemPath(kind, name) + "?resourceVersion=" + version;
        return call("DELETE", path, NO_BODY).thenApply(ApiObject::fromJson);
    }

    @Override
    public Watch watch(String kind, long revision, WatchListener listener) {
        String path =
                collectionPath(kind)
                        + "?watch=1&allowWatchBookmarks=true&resourceVersion="
                        + revision;
        WatchReader reader = new WatchReader(listener);
        HttpClientCall call = client.stream(request("GET", path, NO_BODY), reader);
        return call::cancel;
    }

    private static Listing toListing(JsonNode node) {
        List<ApiObject> objects = new ArrayList<>();
        node.path("items").forEach(item -> objects.add(ApiObject.fromJson(item)));
        long revision = Long.parseLong(node.path("metadata").path("resourceVersion").asText("0"));
        return new Listing(objects, revision);
    }

    private CompletableFuture<JsonNode> call(String method, String path, byte[] body) {
        boolean write = !method.equals("GET");
        return client.send(request(method, path, body))
                .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                throw new CompletionException(toException(failure, write));
                            }
                            return parseBody(reply, write);
                        });
    }

    private HttpClient.Request request(String method, String path, byte[] body) {
        return new HttpClient.Request(
                address, method, path, Map.of("content-type", "application/json"), body);
    }

    private static ObjectApiException toException(Throwable failure, boolean write) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean sent = !(cause instanceof HttpCallException call) || call.sent();
        if (write && sent) {
            return new ObjectApiException(
                    ObjectApiException.Kind.OUTCOME_UNKNOWN,
                    "no answer to the write was received; read the object to determine the outcome");
        }
        return new ObjectApiException(
                ObjectApiException.Kind.UNAVAILABLE,
                "the Object API did not answer; try again later");
    }

    private static JsonNode parseBody(HttpReply reply, boolean write) {
        if (reply.status() < STATUS_MULTIPLE_CHOICES) {
            return Json.parse(reply.body());
        }
        String message = new String(reply.body(), StandardCharsets.UTF_8);
        throw new CompletionException(
                new ObjectApiException(failureKind(reply.status(), write), message));
    }

    private static ObjectApiException.Kind failureKind(int status, boolean write) {
        if (status >= STATUS_SERVER_ERROR) {
            return write
                    ? ObjectApiException.Kind.OUTCOME_UNKNOWN
                    : ObjectApiException.Kind.UNAVAILABLE;
        }
        return switch (status) {
            case STATUS_NOT_FOUND -> ObjectApiException.Kind.NOT_FOUND;
            case STATUS_CONFLICT -> ObjectApiException.Kind.CONFLICT;
            case STATUS_GONE -> ObjectApiException.Kind.GONE;
            default -> ObjectApiException.Kind.INVALID;
        };
    }

    private static String collectionPath(String kind) {
        return API_ROOT + kind.toLowerCase(Locale.ROOT) + "s";
    }

    private static String itemPath(String kind, String name) {
        return collectionPath(kind) + "/" + name;
    }

    private static final class WatchReader implements HttpClient.Listener {
        private final WatchListener listener;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private boolean revisionExpired;

        WatchReader(WatchListener listener) {
            this.listener = listener;
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            revisionExpired = status == STATUS_GONE;
        }

        @Override
        public void onData(byte[] piece) {
            for (byte b : piece) {
                if (b == '\n') {
                    endLine();
                } else {
                    line.write(b);
                }
            }
        }

        private void endLine() {
            JsonNode event = Json.parse(line.toByteArray());
            line.reset();
            JsonNode object = event.path("object");
            switch (event.path("type").asText("")) {
                case "ADDED", "MODIFIED" -> listener.onChanged(ApiObject.fromJson(object));
                case "DELETED" -> listener.onDeleted(ApiObject.fromJson(object));
                case "BOOKMARK" -> listener.onBookmark(revisionOf(object));
                case "ERROR" -> revisionExpired |= object.path("code").asInt() == STATUS_GONE;
                default -> {
                    // Event types that a later version of the API adds are not needed here.
                }
            }
        }

        private static long revisionOf(JsonNode object) {
            return Long.parseLong(object.path("metadata").path("resourceVersion").asText("0"));
        }

        @Override
        public void onEnd() {
            close("the watch ended; start it again");
        }

        @Override
        public void onFailure(Throwable cause, boolean sent) {
            close("the watch failed: " + cause.getMessage() + "; start it again");
        }

        private void close(String message) {
            ObjectApiException.Kind kind =
                    revisionExpired
                            ? ObjectApiException.Kind.GONE
                            : ObjectApiException.Kind.UNAVAILABLE;
            listener.onClosed(new ObjectApiException(kind, message));
        }
    }
}
