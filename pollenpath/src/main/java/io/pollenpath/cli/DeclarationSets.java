package io.pollenpath.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.Declarations;
import io.pollenpath.util.ValidationErrors;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks what holds between several declarations. */
final class DeclarationSets {

    private DeclarationSets() {}

    /** Adds a fault for each object that is declared twice, and those between objects. */
    static void check(List<Declaration> declarations, ValidationErrors faults) {
        Map<String, String> sources = new HashMap<>();
        for (Declaration declaration : declarations) {
            String before = sources.putIfAbsent(declaration.label(), declaration.source());
            faults.addIf(
                    before != null,
                    declaration.source()
                            + ": "
                            + declaration.label()
                            + " is declared in "
                            + before
                            + " as well; keep one");
        }
        checkObjects(declarations.stream().map(Declaration::object).toList(), faults);
    }

    /** Adds a fault for each key of two customers and each rank of two groups. */
    static void checkObjects(Collection<ApiObject> objects, ValidationErrors faults) {
        Map<String, String> owners = new HashMap<>();
        for (ApiObject object : objects) {
            if (object.kind().equals(Declarations.CONTRACT)) {
                checkOwners(owners, object, "keyDigests", "give each customer its own key", faults);
            } else if (object.kind().equals(Declarations.RANK_GROUP)) {
                checkOwners(owners, object, "ranks", "keep it in one group", faults);
            }
        }
    }

    private static void checkOwners(
            Map<String, String> owners,
            ApiObject object,
            String field,
            String remedy,
            ValidationErrors faults) {
        for (JsonNode node : object.spec().path(field)) {
            String value = node.asText();
            String before = owners.putIfAbsent(field + " " + value, object.name());
            faults.addIf(
                    before != null && !before.equals(object.name()),
                    object.kind()
                            + "/"
                            + object.name()
                            + ": "
                            + value
                            + " in "
                            + field
                            + " stands in "
                            + before
                            + " as well; "
                            + remedy);
        }
    }
}
