package io.pollenpath.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.util.Json;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reads and writes the annotations of an object that record which spec each operator applied last.
 * Without a record, an operator's file is treated as if it had never been applied.
 */
final class AppliedRecords {

    private static final String ANNOTATION_PREFIX = "pollenpath.io/applied-by-";
    private static final int MAX_RECORDS = 8;

    private AppliedRecords() {}

    /** Returns the spec that an operator applied last, or a missing node. */
    static JsonNode lastApplied(ApiObject stored, String operator) {
        String text = stored.annotations().get(ANNOTATION_PREFIX + operator);
        return text == null ? MissingNode.getInstance() : parse(text).path("spec");
    }

    private static JsonNode parse(String text) {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a copy with the record of an operator. The oldest records beyond {@link #MAX_RECORDS}
     * are removed.
     */
    static ApiObject withRecord(ApiObject object, String operator, JsonNode spec) {
        ObjectNode record = Json.object();
        record.put("afterVersion", object.version());
        record.set("spec", spec);
        Map<String, String> annotations = new HashMap<>(object.annotations());
        annotations.put(ANNOTATION_PREFIX + operator, Json.text(record));
        while (countRecords(annotations) > MAX_RECORDS) {
            findOldest(annotations).ifPresent(annotations::remove);
        }
        return object.withAnnotations(annotations);
    }

    private static long countRecords(Map<String, String> annotations) {
        return annotations.keySet().stream()
                .filter(key -> key.startsWith(ANNOTATION_PREFIX))
                .count();
    }

    private static Optional<String> findOldest(Map<String, String> annotations) {
        return annotations.keySet().stream()
                .filter(key -> key.startsWith(ANNOTATION_PREFIX))
                .min(
                        Comparator.comparingLong(
                                key -> parse(annotations.get(key)).path("afterVersion").asLong()));
    }

    /** Returns a copy without the records, which is the form that operators read. */
    static ApiObject withoutRecords(ApiObject object) {
        Map<String, String> annotations = new HashMap<>(object.annotations());
        annotations.keySet().removeIf(key -> key.startsWith(ANNOTATION_PREFIX));
        return object.withAnnotations(annotations);
    }
}
