package io.pollenpath.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.Declarations;
import io.pollenpath.util.ValidationErrors;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the rules that involve several declarations. */
final class DeclarationSets {

    private DeclarationSets() {}

    /**
     * Adds an error for each object that is declared twice and for each conflict between objects.
     */
    static void check(List<Declaration> declarations, ValidationErrors errors) {
        Map<String, String> sources = new HashMap<>();
        for (Declaration declaration : declarations) {
            String first = sources.putIfAbsent(declaration.label(), declaration.source());
            errors.addIf(
                    first != null,
                    declaration.source()
                            + ": "
                            + declaration.label()
                            + " is declared in "
                            + first
                            + " as well; keep one");
        }
        checkObjects(declarations.stream().map(Declaration::object).toList(), errors);
    }

    /** Adds an error for each key that two customers share and each rank that two groups share. */
    static void checkObjects(Collection<ApiObject> objects, ValidationErrors errors) {
        Map<String, String> owners = new HashMap<>();
        for (ApiObject object : objects) {
            if (object.kind().equals(Declarations.CONTRACT)) {
                checkUnique(owners, object, "keyDigests", "give each customer its own key", errors);
            } else if (object.kind().equals(Declarations.RANK_GROUP)) {
                checkUnique(owners, object, "ranks", "keep it in one group", errors);
            }
        }
    }

    private static void checkUnique(
            Map<String, String> owners,
            ApiObject object,
            String field,
            String remedy,
            ValidationErrors errors) {
        for (JsonNode node : object.spec().path(field)) {
            String value = node.asText();
            String first = owners.putIfAbsent(field + " " + value, object.name());
            errors.addIf(
                    first != null && !first.equals(object.name()),
                    object.kind()
                            + "/"
                            + object.name()
                            + ": "
                            + value
                            + " in "
                            + field
                            + " is also in "
                            + first
                            + "; "
                            + remedy);
        }
    }
}
