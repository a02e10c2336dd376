package io.pollenpath.cli;

/** A long-running process of the system. */
public interface Role {

    /**
     * Stops gracefully: takes no new work, finishes what was accepted, then closes everything.
     *
     * @return true if all accepted work was done within the grace
     */
    boolean stop();
}
