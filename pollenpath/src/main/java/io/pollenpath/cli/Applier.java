package io.pollenpath.cli;

import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.Declarations;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.util.ValidationErrors;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Brings declarations into the Object API: plans everything first, then writes conditionally. */
final class Applier {

    private static final int MAX_ATTEMPTS = 4;

    private final ObjectApi api;
    private final ApplyPlan.Mode mode;

    Applier(ObjectApi api, ApplyPlan.Mode mode) {
        this.api = api;
        this.mode = mode;
    }

    /**
     * Holds the end of one write.
     *
     * @param stored the object as it is stored now
     * @param readBack whether a lost answer was resolved by reading the object
     */
    record Written(ApiObject stored, boolean readBack) {}

    /** Plans every declaration; adds a fault where they do not fit what is stored. */
    List<ApplyPlan> plan(List<Declaration> declarations, ValidationErrors faults) {
        Map<String, Map<String, ApiObject>> stored = new HashMap<>();
        List<ApplyPlan> plans = new ArrayList<>();
        for (Declaration declaration : declarations) {
            ApiObject object = declaration.object();
            Map<String, ApiObject> ofKind = stored.computeIfAbsent(object.kind(), this::list);
            Optional<ApiObject> held = Optional.ofNullable(ofKind.get(object.name()));
            plans.add(ApplyPlan.of(declaration, held, mode));
        }
        checkAgainstStored(stored, plans, faults);
        return plans;
    }

    private Map<String, ApiObject> list(String kind) {
        Map<String, ApiObject> byName = new HashMap<>();
        api.list(kind).join().objects().forEach(object -> byName.put(object.name(), object));
        return byName;
    }

    private static void checkAgainstStored(
            Map<String, Map<String, ApiObject>> stored,
            List<ApplyPlan> plans,
            ValidationErrors faults) {
        for (String kind : List.of(Declarations.CONTRACT, Declarations.RANK_GROUP)) {
            Map<String, ApiObject> after = new HashMap<>(stored.getOrDefault(kind, Map.of()));
            plans.stream()
                    .map(ApplyPlan::next)
                    .filter(next -> next.kind().equals(kind))
                    .forEach(next -> after.put(next.name(), next));
            Collection<ApiObject> objects = after.values();
            DeclarationSets.checkObjects(objects, faults);
        }
    }

    /**
     * Writes one plan. A lost answer, or a change by another operator in between, is resolved by
     * reading the object and planning again.
     */
    Written write(ApplyPlan plan) {
        ApplyPlan current = plan;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            if (!current.conflicts().isEmpty()) {
                throw new ApplyConflictException(List.of(current));
            }
            if (current.change() == ApplyPlan.Change.NONE) {
                return new Written(current.stored().orElseThrow(), attempt > 1);
            }
            try {
                return new Written(send(current), false);
            } catch (CompletionException e) {
                requireResolvable(e);
            }
            current = ApplyPlan.of(plan.declaration(), find(current.next()), mode);
        }
        throw new ObjectApiException(
                ObjectApiException.Kind.OUTCOME_UNKNOWN,
                plan.declaration().label() + " could not be written; run the same apply again");
    }

    private ApiObject send(ApplyPlan plan) {
        return plan.stored().isEmpty()
                ? api.create(plan.next()).join()
                : api.update(plan.next()).join();
    }

    private static void requireResolvable(CompletionException failure) {
        boolean resolvable =
                failure.getCause() instanceof ObjectApiException cause
                        && (cause.kind() == ObjectApiException.Kind.OUTCOME_UNKNOWN
                                || cause.kind() == ObjectApiException.Kind.CONFLICT);
        if (!resolvable) {
            throw failure;
        }
    }

    private Optional<ApiObject> find(ApiObject object) {
        try {
            return Optional.of(api.get(object.kind(), object.name()).join());
        } catch (CompletionException e) {
            if (e.getCause() instanceof ObjectApiException cause
                    && cause.kind() == ObjectApiException.Kind.NOT_FOUND) {
                return Optional.empty();
            }
            throw e;
        }
    }
}
