package io.pollenpath.cli;

import io.pollenpath.protocol.ApiObject;
import java.util.Objects;

/**
 * One declaration that was read from a file.
 *
 * @param source the file and the number of the YAML document in it, used in messages, not null
 * @param object the declared object, with the version that the file names or 0, not null
 */
record Declaration(String source, ApiObject object) {

    Declaration {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(object, "object");
    }

    String label() {
        return object.kind() + "/" + object.name();
    }
}
