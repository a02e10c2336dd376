package io.pollenpath.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.coordination.FieldChange;
import io.pollenpath.coordination.SpecMerge;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.util.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The planned write of one declaration.
 *
 * @param declaration the declaration
 * @param stored the object as it is stored, or empty
 * @param next the object to write
 * @param change what the write does
 * @param fields the fields that the write changes
 * @param conflicts the changed fields that another operator has changed since this operator last
 *     read or applied them
 */
record ApplyPlan(
        Declaration declaration,
        Optional<ApiObject> stored,
        ApiObject next,
        Change change,
        List<FieldChange> fields,
        List<FieldChange> conflicts) {

    /** What a write does to an object. */
    enum Change {
        CREATED,
        UPDATED,
        /** Writes only the record of what this operator applied last. */
        RECORDED,
        NONE
    }

    /**
     * How declarations are applied.
     *
     * @param operator the name of the operator who applies them
     * @param overwrite whether fields that another operator changed are replaced
     */
    record Mode(String operator, boolean overwrite) {}

    static ApplyPlan of(Declaration declaration, Optional<ApiObject> stored, Mode mode) {
        return stored.isEmpty()
                ? planCreate(declaration, mode)
                : planUpdate(declaration, stored.get(), mode);
    }

    private static ApplyPlan planCreate(Declaration declaration, Mode mode) {
        ApiObject declared = declaration.object();
        JsonNode empty = Json.object();
        SpecMerge.Result merge = SpecMerge.merge(empty, empty, declared.spec(), mode.overwrite());
        boolean wasDeleted = declared.version() != 0 && !mode.overwrite();
        ApiObject fresh = ApiObject.of(declared.kind(), declared.name(), declared.spec());
        return new ApplyPlan(
                declaration,
                Optional.empty(),
                AppliedRecords.withRecord(fresh, mode.operator(), declared.spec()),
                Change.CREATED,
                merge.changes(),
                wasDeleted ? merge.changes() : List.of());
    }

    private static ApplyPlan planUpdate(Declaration declaration, ApiObject stored, Mode mode) {
        ApiObject declared = declaration.object();
        JsonNode lastApplied = AppliedRecords.lastApplied(stored, mode.operator());
        boolean basedOnStored = declared.version() == stored.version();
        boolean basedOnOtherVersion = declared.version() != 0 && !basedOnStored;
        JsonNode base = basedOnStored ? stored.spec() : lastApplied;
        SpecMerge.Result merge =
                SpecMerge.merge(base, stored.spec(), declared.spec(), mode.overwrite());
        List<FieldChange> conflicts = new ArrayList<>(merge.conflicts());
        if (basedOnOtherVersion && !mode.overwrite()) {
            conflicts.addAll(merge.changes());
        }
        Change change = changeOf(merge, lastApplied, declared);
        ApiObject next = stored.withSpec(merge.spec());
        return new ApplyPlan(
                declaration,
                Optional.of(stored),
                AppliedRecords.withRecord(next, mode.operator(), declared.spec()),
                change,
                merge.changes(),
                conflicts);
    }

    private static Change changeOf(
            SpecMerge.Result merge, JsonNode lastApplied, ApiObject declared) {
        if (!merge.changes().isEmpty()) {
            return Change.UPDATED;
        }
        return lastApplied.equals(declared.spec()) ? Change.NONE : Change.RECORDED;
    }

    long storedVersion() {
        return stored.map(ApiObject::version).orElse(0L);
    }
}
