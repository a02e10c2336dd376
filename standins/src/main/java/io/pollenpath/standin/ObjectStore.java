package io.pollenpath.standin;

import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.protocol.ObjectApiException.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * An in-memory store of versioned objects with conditional updates and a bounded history of
 * changes, from which watches resume. Each change gets the next revision of the whole store as the
 * version of its object.
 */
public final class ObjectStore {

    private static final int MAX_HISTORY = 1_024;

    /**
     * A change of an object.
     *
     * @param type the event type of the watch protocol: ADDED, MODIFIED or DELETED
     * @param object the object after the change; for a deletion, its last state
     */
    record Change(String type, ApiObject object) {}

    private final Map<String, Map<String, ApiObject>> objects = new TreeMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private final List<Consumer<Change>> watchers = new ArrayList<>();
    private long revision;
    private long oldestRetainedRevision = 1;

    synchronized List<ApiObject> list(String kind) {
        return new ArrayList<>(objectsOf(kind).values());
    }

    synchronized long revision() {
        return revision;
    }

    synchronized ApiObject get(String kind, String name) {
        ApiObject object = objectsOf(kind).get(name);
        if (object == null) {
            throw new ObjectApiException(Kind.NOT_FOUND, kind + "/" + name + " does not exist");
        }
        return object;
    }

    synchronized ApiObject create(String kind, ApiObject object) {
        if (objectsOf(kind).containsKey(object.name())) {
            throw new ObjectApiException(Kind.CONFLICT, object.name() + " already exists");
        }
        return put(kind, "ADDED", object);
    }

    synchronized ApiObject update(String kind, ApiObject object) {
        requireVersion(get(kind, object.name()), object.version());
        return put(kind, "MODIFIED", object);
    }

    synchronized ApiObject delete(String kind, String name, long version) {
        ApiObject current = get(kind, name);
        requireVersion(current, version);
        objectsOf(kind).remove(name);
        ApiObject deleted = current.withVersion(++revision);
        recordChange(new Change("DELETED", deleted));
        return deleted;
    }

    /** Fails with CONFLICT unless the object has the version; version 0 matches any. */
    private static void requireVersion(ApiObject current, long version) {
        if (version != 0 && current.version() != version) {
            throw new ObjectApiException(
                    Kind.CONFLICT,
                    current.name() + " has version " + current.version() + ", expected " + version);
        }
    }

    private ApiObject put(String kind, String type, ApiObject object) {
        ApiObject stored = object.withVersion(++revision);
        objectsOf(kind).put(object.name(), stored);
        recordChange(new Change(type, stored));
        return stored;
    }

    private void recordChange(Change change) {
        history.addLast(change);
        if (history.size() > MAX_HISTORY) {
            oldestRetainedRevision = history.removeFirst().object().version() + 1;
        }
        List.copyOf(watchers).forEach(watcher -> watcher.accept(change));
    }

    /**
     * Passes all changes after a revision to a watcher, first those of the history, then each new
     * one. Fails with GONE if the history no longer has all of them.
     */
    synchronized void watch(long afterRevision, Consumer<Change> watcher) {
        if (afterRevision + 1 < oldestRetainedRevision) {
            throw new ObjectApiException(
                    Kind.GONE,
                    "the history no longer has the changes after this revision; list again");
        }
        for (Change change : history) {
            if (change.object().version() > afterRevision) {
                watcher.accept(change);
            }
        }
        watchers.add(watcher);
    }

    synchronized void unwatch(Consumer<Change> watcher) {
        watchers.remove(watcher);
    }

    /** Drops the history, so that a watch from any earlier revision fails with GONE. */
    synchronized void dropHistory() {
        history.clear();
        oldestRetainedRevision = revision + 1;
    }

    private Map<String, ApiObject> objectsOf(String kind) {
        return objects.computeIfAbsent(kind, k -> new TreeMap<>());
    }
}
