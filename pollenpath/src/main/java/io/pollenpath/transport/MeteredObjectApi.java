package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/**
 * Decorates an Object API client with metrics of the number, duration and failures of its calls.
 */
public final class MeteredObjectApi implements ObjectApi {

    private final ObjectApi api;
    private final MetricRegistry metrics;

    /**
     * Creates a client that delegates to another.
     *
     * @param api the client that makes the calls, not null
     * @param metrics the registry for the metrics, not null
     */
    public MeteredObjectApi(ObjectApi api, MetricRegistry metrics) {
        this.api = Objects.requireNonNull(api, "api");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    private <T> CompletableFuture<T> measure(String call, Supplier<CompletableFuture<T>> action) {
        countCall(call);
        Timer.Context context =
                metrics.timer(MetricNames.of("object_api_call_seconds", "call", call)).time();
        return action.get()
                .whenComplete(
                        (value, failure) -> {
                            context.stop();
                            if (failure != null) {
                                countFailure(failure);
                            }
                        });
    }

    private void countCall(String call) {
        MetricNames.count(metrics, "object_api_calls_total", "call", call);
    }

    private void countFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        String kind =
                cause instanceof ObjectApiException known
                        ? known.kind().name().toLowerCase(Locale.ROOT)
                        : "other";
        MetricNames.count(metrics, "object_api_failures_total", "kind", kind);
    }

    @Override
    public CompletableFuture<Listing> list(String kind) {
        return measure("list", () -> api.list(kind));
    }

    @Override
    public CompletableFuture<ApiObject> get(String kind, String name) {
        return measure("get", () -> api.get(kind, name));
    }

    @Override
    public CompletableFuture<ApiObject> create(ApiObject object) {
        return measure("create", () -> api.create(object));
    }

    @Override
    public CompletableFuture<ApiObject> update(ApiObject object) {
        return measure("update", () -> api.update(object));
    }

    @Override
    public CompletableFuture<ApiObject> delete(String kind, String name, long version) {
        return measure("delete", () -> api.delete(kind, name, version));
    }

    @Override
    public Watch watch(String kind, long revision, WatchListener listener) {
        countCall("watch");
        return api.watch(kind, revision, listener);
    }
}
