package io.pollenpath.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** An in-memory version of the platform's store: objects by kind and name, and their changes. */
final class PlatformStore {

    private static final long FIRST_REVISION = 5;

    private final Map<String, Map<String, ObjectNode>> objectsByKind = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final int pageSize;
    private long revision = FIRST_REVISION;
    private long lastDroppedRevision;
    private long era = 1;
    private Copy copy;

    /**
     * A change of an object.
     *
     * @param kind the kind of the object
     * @param revision the revision of the store after the change
     * @param event the event that watches receive
     */
    private record Change(String kind, long revision, ObjectNode event) {}

    /**
     * The state of the store at one time.
     *
     * @param objectsByKind the objects by kind and name
     * @param history the changes
     * @param revision the revision
     */
    private record Copy(
            Map<String, Map<String, ObjectNode>> objectsByKind,
            List<Change> history,
            long revision) {}

    PlatformStore(int pageSize) {
        this.pageSize = pageSize;
    }

    /** Returns one page of the objects whose names sort after a name. */
    synchronized ObjectNode list(String kind, String afterName) {
        ObjectNode page = Json.object();
        ArrayNode items = page.putArray("Items");
        boolean more = false;
        for (Map.Entry<String, ObjectNode> entry : objects(kind).entrySet()) {
            if (entry.getKey().compareTo(afterName) <= 0) {
                continue;
            }
            if (items.size() == pageSize) {
                more = true;
                break;
            }
            items.add(entry.getValue().deepCopy());
        }
        return page.put("HasMore", more).put("CurrentRev", revision);
    }

    private Map<String, ObjectNode> objects(String kind) {
        return objectsByKind.computeIfAbsent(kind, name -> new TreeMap<>());
    }

    /** Returns the changes after a revision; empty if the history no longer has all of them. */
    synchronized Optional<ObjectNode> changes(String kind, long afterRevision) {
        if (afterRevision < lastDroppedRevision || afterRevision > revision) {
            return Optional.empty();
        }
        ObjectNode answer = Json.object();
        ArrayNode events = answer.putArray("events");
        for (Change change : history) {
            if (change.kind().equals(kind) && change.revision() > afterRevision) {
                events.add(change.event().deepCopy());
            }
        }
        answer.put("CurrentRev", revision);
        return Optional.of(answer);
    }

    synchronized Optional<ObjectNode> read(String kind, String name) {
        return Optional.ofNullable(objects(kind).get(name)).map(ObjectNode::deepCopy);
    }

    /** Creates an object; empty if it already exists. */
    synchronized Optional<ObjectNode> create(String kind, String name, JsonNode spec) {
        if (objects(kind).containsKey(name)) {
            return Optional.empty();
        }
        return Optional.of(put(kind, name, spec));
    }

    /**
     * Replaces an object; empty if it doesn't exist or has another revision than expected. An
     * expected revision of 0 matches any.
     */
    synchronized Optional<ObjectNode> replace(
            String kind, String name, JsonNode spec, long expectedRevision) {
        ObjectNode current = objects(kind).get(name);
        if (current == null) {
            return Optional.empty();
        }
        long currentRevision = current.path("Metadata").path("Revision").asLong();
        if (expectedRevision != 0 && currentRevision != expectedRevision) {
            return Optional.empty();
        }
        return Optional.of(put(kind, name, spec));
    }

    /** Creates or replaces an object, whatever its revision. */
    synchronized ObjectNode put(String kind, String name, JsonNode spec) {
        revision++;
        ObjectNode object = Json.object();
        object.putObject("Metadata").put("Name", name).put("Revision", revision);
        object.set("Spec", spec);
        objects(kind).put(name, object);
        recordChange(kind, object, false);
        return object.deepCopy();
    }

    synchronized boolean delete(String kind, String name) {
        ObjectNode removed = objects(kind).remove(name);
        if (removed == null) {
            return false;
        }
        revision++;
        ObjectNode deleted = removed.deepCopy();
        ((ObjectNode) deleted.get("Metadata")).put("Revision", revision);
        recordChange(kind, deleted, true);
        return true;
    }

    private void recordChange(String kind, ObjectNode object, boolean deleted) {
        ObjectNode event = Json.object().put("Deleted", deleted);
        event.set("Object", object.deepCopy());
        history.add(new Change(kind, revision, event));
    }

    /** Keeps a copy of the present state for {@link #restoreCopy}. */
    synchronized void keepCopy() {
        copy = new Copy(deepCopy(objectsByKind), List.copyOf(history), revision);
    }

    /** Goes back to the state of the copy: later changes are gone, and revisions repeat. */
    synchronized void restoreCopy() {
        objectsByKind.clear();
        objectsByKind.putAll(deepCopy(copy.objectsByKind()));
        history.clear();
        history.addAll(copy.history());
        revision = copy.revision();
        era++;
    }

    private static Map<String, Map<String, ObjectNode>> deepCopy(
            Map<String, Map<String, ObjectNode>> source) {
        Map<String, Map<String, ObjectNode>> copied = new TreeMap<>();
        source.forEach(
                (kind, objects) -> {
                    Map<String, ObjectNode> copies = new TreeMap<>();
                    objects.forEach((name, object) -> copies.put(name, object.deepCopy()));
                    copied.put(kind, copies);
                });
        return copied;
    }

    /** Returns how often the store has gone back to a copy, plus 1. */
    synchronized long era() {
        return era;
    }

    /** Drops all changes so far, so that watches from an earlier revision fail with 410. */
    synchronized void dropHistory() {
        revision++;
        lastDroppedRevision = revision;
        history.clear();
    }
}
