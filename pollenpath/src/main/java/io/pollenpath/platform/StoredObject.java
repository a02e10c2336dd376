package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the store.
 *
 * @param name the name within its kind
 * @param revision the store's revision of its last change
 * @param createdRevision the store's revision at which it was created; 0 if the store does not
 *     report it
 * @param spec the content that its owner wrote
 */
record StoredObject(String name, long revision, long createdRevision, JsonNode spec) {

    /**
     * Decodes an object.
     *
     * @throws IllegalArgumentException if the object has no name
     */
    static StoredObject decode(JsonNode node) {
        JsonNode metadata = node.path("Metadata");
        JsonNode name = metadata.path("Name");
        if (!name.isTextual()) {
            throw new IllegalArgumentException("the stored object has no Metadata.Name");
        }
        return new StoredObject(
                name.textValue(),
                metadata.path("Revision").asLong(0),
                metadata.path("Created").asLong(0),
                node.path("Spec"));
    }
}
