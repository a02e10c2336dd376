package io.pollenpath.cli;

import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.protocol.ObjectApiException.Kind;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** An Object API in memory whose next write can get lost, lose its answer or run into another. */
final class FakeObjectApi implements ObjectApi {

    final Map<String, ApiObject> objects = new TreeMap<>();
    int writes;
    boolean loseNextAnswer;
    boolean loseNextRequest;
    Runnable beforeNextWrite = () -> {};
    private long revision;

    private static String key(String kind, String name) {
        return kind + "/" + name;
    }

    private static <T> CompletableFuture<T> call(Supplier<T> action) {
        try {
            return CompletableFuture.completedFuture(action.get());
        } catch (ObjectApiException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    @Override
    public CompletableFuture<Listing> list(String kind) {
        return call(
                () -> {
                    ArrayList<ApiObject> found = new ArrayList<>(objects.values());
                    found.removeIf(object -> !object.kind().equals(kind));
                    return new Listing(found, revision);
                });
    }

    @Override
    public CompletableFuture<ApiObject> get(String kind, String name) {
        return call(() -> require(kind, name));
    }

    private ApiObject require(String kind, String name) {
        ApiObject object = objects.get(key(kind, name));
        if (object == null) {
            throw new ObjectApiException(Kind.NOT_FOUND, name + " does not exist");
        }
        return object;
    }

    @Override
    public CompletableFuture<ApiObject> create(ApiObject object) {
        return write(object, false);
    }

    @Override
    public CompletableFuture<ApiObject> update(ApiObject object) {
        return write(object, true);
    }

    private CompletableFuture<ApiObject> write(ApiObject object, boolean exists) {
        Runnable before = beforeNextWrite;
        beforeNextWrite = () -> {};
        before.run();
        return call(() -> store(object, exists));
    }

    private ApiObject store(ApiObject object, boolean exists) {
        if (loseNextRequest) {
            loseNextRequest = false;
            throw new ObjectApiException(Kind.OUTCOME_UNKNOWN, "lost");
        }
        String key = key(object.kind(), object.name());
        ApiObject current = objects.get(key);
        boolean unchanged =
                exists ? current != null && current.version() == object.version() : current == null;
        if (!unchanged) {
            throw new ObjectApiException(Kind.CONFLICT, "changed since");
        }
        writes++;
        ApiObject stored = object.withVersion(++revision);
        objects.put(key, stored);
        if (loseNextAnswer) {
            loseNextAnswer = false;
            throw new ObjectApiException(Kind.OUTCOME_UNKNOWN, "lost");
        }
        return stored;
    }

    @Override
    public CompletableFuture<ApiObject> delete(String kind, String name, long version) {
        return call(
                () -> {
                    ApiObject current = require(kind, name);
                    objects.remove(key(kind, name));
                    return current.withVersion(++revision);
                });
    }

    @Override
    public Watch watch(String kind, long after, WatchListener listener) {
        throw new UnsupportedOperationException("operators' commands watch nothing");
    }
}
