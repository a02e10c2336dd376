package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * An object of the platform's Object API.
 *
 * @param kind the kind, such as {@code Contract}, not null
 * @param name the name, unique within the kind, not null
 * @param version the resource version; 0 for an object that is not stored yet
 * @param spec the state declared by operators, not null
 * @param status the state reported by the system, not null
 * @param annotations the values that operator tools attach to the object, by name, not null
 */
public record ApiObject(
        String kind,
        String name,
        long version,
        JsonNode spec,
        JsonNode status,
        Map<String, String> annotations) {

    /** API group and version of the kinds defined by this system. */
    public static final String API_VERSION = "pollenpath.io/v1";

    /** Checks the components and copies the annotations. */
    public ApiObject {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(status, "status");
        annotations = Map.copyOf(annotations);
    }

    /**
     * Creates an object without annotations.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     * @param version the resource version; 0 for an object that is not stored yet
     * @param spec the state declared by operators, not null
     * @param status the state reported by the system, not null
     */
    public ApiObject(String kind, String name, long version, JsonNode spec, JsonNode status) {
        this(kind, name, version, spec, status, Map.of());
    }

    /**
     * Creates an object that is not stored yet.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     * @param spec the state declared by operators, not null
     * @return the object with version 0 and an empty status
     */
    public static ApiObject of(String kind, String name, JsonNode spec) {
        return new ApiObject(kind, name, 0, spec, Json.object());
    }

    /**
     * Parses the JSON representation of the Object API.
     *
     * @param node the object with {@code kind}, {@code metadata}, {@code spec}, {@code status}
     * @return the object
     * @throws IllegalArgumentException if kind or name is missing
     */
    public static ApiObject fromJson(JsonNode node) {
        String kind = node.path("kind").asText("");
        JsonNode metadata = node.path("metadata");
        String name = metadata.path("name").asText("");
        if (kind.isEmpty() || name.isEmpty()) {
            throw new IllegalArgumentException("an object needs kind and metadata.name; add them");
        }
        long version = Long.parseLong(metadata.path("resourceVersion").asText("0"));
        Map<String, String> annotations = new HashMap<>();
        metadata.path("annotations")
                .properties()
                .forEach(e -> annotations.put(e.getKey(), e.getValue().asText()));
        return new ApiObject(
                kind,
                name,
                version,
                orEmpty(node.path("spec")),
                orEmpty(node.path("status")),
                annotations);
    }

    private static JsonNode orEmpty(JsonNode node) {
        return node.isObject() ? node : Json.object();
    }

    /**
     * Returns the JSON representation of the Object API.
     *
     * @return a new JSON tree
     */
    public ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("apiVersion", API_VERSION);
        node.put("kind", kind);
        ObjectNode metadata = node.putObject("metadata");
        metadata.put("name", name);
        if (version > 0) {
            metadata.put("resourceVersion", Long.toString(version));
        }
        if (!annotations.isEmpty()) {
            ObjectNode annotationsNode = metadata.putObject("annotations");
            new TreeMap<>(annotations).forEach(annotationsNode::put);
        }
        node.set("spec", spec);
        node.set("status", status);
        return node;
    }

    /**
     * Returns a copy with another spec.
     *
     * @param newSpec the new spec, not null
     * @return the copy
     */
    public ApiObject withSpec(JsonNode newSpec) {
        return new ApiObject(kind, name, version, newSpec, status, annotations);
    }

    /**
     * Returns a copy with another resource version.
     *
     * @param newVersion the new resource version
     * @return the copy
     */
    public ApiObject withVersion(long newVersion) {
        return new ApiObject(kind, name, newVersion, spec, status, annotations);
    }

    /**
     * Returns a copy with other annotations.
     *
     * @param newAnnotations the new annotations, not null
     * @return the copy
     */
    public ApiObject withAnnotations(Map<String, String> newAnnotations) {
        return new ApiObject(kind, name, version, spec, status, newAnnotations);
    }
}
