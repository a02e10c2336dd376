package io.pollenpath.coordination;

import java.util.Objects;

/**
 * One version of a configuration object, or a deletion marker for it.
 *
 * @param kind the kind of the object, not null
 * @param name the name of the object, unique within the kind, not null
 * @param version the version of the object or of its deletion; versions of different objects are
 *     not comparable
 * @param deleted whether this entry is a deletion marker
 * @param json the stored JSON, empty for a deletion marker, not null
 */
public record ConfigEntry(String kind, String name, long version, boolean deleted, String json) {

    /** Checks the components. */
    public ConfigEntry {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(json, "json");
    }

    /**
     * Creates a deletion marker.
     *
     * @param kind the kind of the deleted object, not null
     * @param name the name of the deleted object, not null
     * @param version the version of the deletion
     * @return the marker
     */
    public static ConfigEntry deletion(String kind, String name, long version) {
        return new ConfigEntry(kind, name, version, true, "");
    }

    /**
     * Returns the key that identifies the object.
     *
     * @return the kind and the name, separated by a slash
     */
    public String key() {
        return kind + "/" + name;
    }
}
