package io.pollenpath.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Three-way merge of a declared spec into the stored spec, with the spec that the same operator
 * applied last as the base. A field that another operator has changed since then is a conflict; a
 * field that this operator never declared is left unchanged.
 */
public final class SpecMerge {

    private static final JsonNode MISSING = MissingNode.getInstance();

    private final boolean overwrite;
    private final List<FieldChange> changes = new ArrayList<>();
    private final List<FieldChange> conflicts = new ArrayList<>();

    private SpecMerge(boolean overwrite) {
        this.overwrite = overwrite;
    }

    /**
     * The result of a merge.
     *
     * @param spec the merged spec; to be stored only if there are no conflicts
     * @param changes the fields of which the merged value differs from the stored one
     * @param conflicts the fields that another operator has changed since the last apply
     */
    public record Result(JsonNode spec, List<FieldChange> changes, List<FieldChange> conflicts) {

        /** Copies the lists. */
        public Result {
            changes = List.copyOf(changes);
            conflicts = List.copyOf(conflicts);
        }
    }

    /**
     * Merges a declared spec into the stored one.
     *
     * @param lastApplied the spec that this operator applied last; a missing node if there is none
     * @param stored the stored spec, not null
     * @param declared the spec that this operator declares now, not null
     * @param overwrite whether fields that another operator changed are replaced, not reported as
     *     conflicts
     * @return the result
     */
    public static Result merge(
            JsonNode lastApplied, JsonNode stored, JsonNode declared, boolean overwrite) {
        SpecMerge merge = new SpecMerge(overwrite);
        JsonNode spec = merge.mergeNode("spec", lastApplied, stored, declared);
        return new Result(spec, merge.changes, merge.conflicts);
    }

    private JsonNode mergeNode(String path, JsonNode base, JsonNode stored, JsonNode declared) {
        if (declared.equals(stored)) {
            return stored;
        }
        if (declared.isObject() && stored.isObject()) {
            return mergeObject(path, base, stored, declared);
        }
        return mergeLeaf(new FieldChange(path, base, stored, declared));
    }

    private JsonNode mergeObject(String path, JsonNode base, JsonNode stored, JsonNode declared) {
        Set<String> names = new LinkedHashSet<>();
        stored.fieldNames().forEachRemaining(names::add);
        declared.fieldNames().forEachRemaining(names::add);
        ObjectNode merged = JsonNodeFactory.instance.objectNode();
        for (String name : names) {
            JsonNode value =
                    mergeNode(
                            path + "." + name,
                            orMissing(base.get(name)),
                            orMissing(stored.get(name)),
                            orMissing(declared.get(name)));
            if (!value.isMissingNode()) {
                merged.set(name, value);
            }
        }
        return merged;
    }

    private JsonNode mergeLeaf(FieldChange change) {
        boolean neverDeclared =
                change.declared().isMissingNode() && change.lastApplied().isMissingNode();
        if (neverDeclared) {
            return change.stored();
        }
        boolean unchangedByOthers = change.stored().equals(change.lastApplied());
        if (unchangedByOthers || overwrite) {
            changes.add(change);
            return change.declared();
        }
        conflicts.add(change);
        return change.stored();
    }

    private static JsonNode orMissing(JsonNode node) {
        return node == null ? MISSING : node;
    }
}
