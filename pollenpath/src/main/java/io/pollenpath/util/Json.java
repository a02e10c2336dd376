package io.pollenpath.util;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes JSON through one shared mapper. */
public final class Json {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Json() {}

    /**
     * Returns the shared mapper.
     *
     * @return the mapper, which is thread-safe
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Creates an empty JSON object.
     *
     * @return a new node
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a JSON document.
     *
     * @param bytes the UTF-8 document, not null
     * @return the root node; a missing node for an empty input
     * @throws IllegalArgumentException if the document is not JSON
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new IllegalArgumentException("the input is not a well-formed JSON document", e);
        }
    }

    /**
     * Encodes a node as UTF-8.
     *
     * @param node the node, not null
     * @return the JSON document in UTF-8
     */
    public static byte[] bytes(JsonNode node) {
        return text(node).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes a node as text.
     *
     * @param node the node, not null
     * @return the JSON document on one line
     */
    public static String text(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the JSON tree could not be written", e);
        }
    }
}
