package io.pollenpath.state;

import java.util.Objects;

/**
 * The calls of a plain service with one method and path prefix, and whether they are idempotent.
 *
 * @param method the HTTP method in upper case, not null
 * @param path the prefix of their paths, starting with {@code /}
 * @param repeatable whether they may be run more than once
 */
public record ServiceCall(String method, String path, boolean repeatable) {

    /** Checks the components. */
    public ServiceCall {
        Objects.requireNonNull(method, "method");
        if (path == null || !path.startsWith("/")) {
            throw new IllegalArgumentException(
                    "path is '" + path + "'; it must start with a slash");
        }
    }

    /**
     * Returns whether a call matches the method and the path prefix.
     *
     * @param callMethod the method of the call, not null
     * @param callPath the path of the call, not null
     * @return true if the method is equal and the path starts with the prefix
     */
    public boolean matches(String callMethod, String callPath) {
        return method.equals(callMethod) && callPath.startsWith(path);
    }
}
