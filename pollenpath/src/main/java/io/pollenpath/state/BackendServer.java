package io.pollenpath.state;

import java.util.Objects;

/**
 * One backend server and the side process in front of it.
 *
 * @param name the unique name, not empty, without a dot
 * @param role whether it is a model engine or a plain service, not null
 * @param target the model or service that it serves, not empty
 * @param zone the availability zone, not null
 * @param sideHost the IP address at which its side process listens, not null
 * @param sidePort the port at which its side process listens
 * @param drained whether operators have drained it
 */
public record BackendServer(
        String name,
        Role role,
        String target,
        String zone,
        String sideHost,
        int sidePort,
        boolean drained) {

    private static final int MAX_PORT = 65_535;

    /** Kinds of backend server. */
    public enum Role {
        /** A model engine that speaks the completions API. */
        ENGINE,
        /** A plain HTTP service. */
        SERVICE
    }

    /** Checks the components. */
    public BackendServer {
        requireText("name", name);
        requireText("target", target);
        if (name.indexOf('.') >= 0) {
            throw new IllegalArgumentException(
                    "name '" + name + "' contains a dot; use letters, digits and hyphens");
        }
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(sideHost, "sideHost");
        if (sidePort < 1 || sidePort > MAX_PORT) {
            throw new IllegalArgumentException(
                    "sidePort is " + sidePort + "; set it between 1 and " + MAX_PORT);
        }
    }

    /**
     * Returns a copy that is marked as drained.
     *
     * @return the copy
     */
    public BackendServer asDrained() {
        return new BackendServer(name, role, target, zone, sideHost, sidePort, true);
    }

    private static void requireText(String field, String value) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(field + " is empty; set it");
        }
    }
}
