package io.pollenpath.cli;

/** A long-running process of the system. */
public interface Role {

    /**
     * Stops gracefully: accepts no new work, finishes the accepted work, then closes everything.
     *
     * @return true if all accepted work was finished within the grace period
     */
    boolean stop();
}
