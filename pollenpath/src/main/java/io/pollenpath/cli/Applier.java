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

/**
 * Applies declarations to the Object API: plans all writes first, then writes each object only if
 * its version is unchanged.
 */
final class Applier {

    private static final int MAX_ATTEMPTS = 4;

    private final ObjectApi api;
    private final ApplyPlan.Mode mode;

    Applier(ObjectApi api, ApplyPlan.Mode mode) {
        this.api = api;
        this.mode = mode;
    }

    /**
     * The result of one write.
     *
     * @param stored the object as it is stored now
     * @param readBack whether the write was confirmed by reading the object again
     */
    record WriteResult(ApiObject stored, boolean readBack) {}

    /**
     * Plans every declaration and adds an error for each conflict between objects after the writes.
     */
    List<ApplyPlan> plan(List<Declaration> declarations, ValidationErrors errors) {
        Map<String, Map<String, ApiObject>> storedByKind = new HashMap<>();
        List<ApplyPlan> plans = new ArrayList<>();
        for (Declaration declaration : declarations) {
            ApiObject object = declaration.object();
            Map<String, ApiObject> objectsByName =
                    storedByKind.computeIfAbsent(object.kind(), this::list);
            Optional<ApiObject> current = Optional.ofNullable(objectsByName.get(object.name()));
            plans.add(ApplyPlan.of(declaration, current, mode));
        }
        checkAgainstStored(storedByKind, plans, errors);
        return plans;
    }

    private Map<String, ApiObject> list(String kind) {
        Map<String, ApiObject> byName = new HashMap<>();
        api.list(kind).join().objects().forEach(object -> byName.put(object.name(), object));
        return byName;
    }

    private static void checkAgainstStored(
            Map<String, Map<String, ApiObject>> storedByKind,
            List<ApplyPlan> plans,
            ValidationErrors errors) {
        for (String kind : List.of(Declarations.CONTRACT, Declarations.RANK_GROUP)) {
            Map<String, ApiObject> planned =
                    new HashMap<>(storedByKind.getOrDefault(kind, Map.of()));
            plans.stream()
                    .map(ApplyPlan::next)
                    .filter(next -> next.kind().equals(kind))
                    .forEach(next -> planned.put(next.name(), next));
            Collection<ApiObject> objects = planned.values();
            DeclarationSets.checkObjects(objects, errors);
        }
    }

    /**
     * Writes one plan. If the answer is lost or another operator has changed the object since it
     * was read, reads the object again and repeats the plan.
     */
    WriteResult write(ApplyPlan plan) {
        ApplyPlan current = plan;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            if (!current.conflicts().isEmpty()) {
                throw new ApplyConflictException(List.of(current));
            }
            if (current.change() == ApplyPlan.Change.NONE) {
                return new WriteResult(current.stored().orElseThrow(), attempt > 1);
            }
            try {
                return new WriteResult(createOrUpdate(current), false);
            } catch (CompletionException e) {
                requireRetryable(e);
            }
            current = ApplyPlan.of(plan.declaration(), find(current.next()), mode);
        }
        throw new ObjectApiException(
                ObjectApiException.Kind.OUTCOME_UNKNOWN,
                plan.declaration().label() + " could not be written; run the same apply again");
    }

    private ApiObject createOrUpdate(ApplyPlan plan) {
        return plan.stored().isEmpty()
                ? api.create(plan.next()).join()
                : api.update(plan.next()).join();
    }

    private static void requireRetryable(CompletionException failure) {
        boolean retryable =
                failure.getCause() instanceof ObjectApiException cause
                        && (cause.kind() == ObjectApiException.Kind.OUTCOME_UNKNOWN
                                || cause.kind() == ObjectApiException.Kind.CONFLICT);
        if (!retryable) {
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
