package io.pollenpath.coordination;

/** Asynchronous calls to the configuration store; results are delivered to {@link ConfigAgent}. */
public interface ConfigStore {

    /**
     * Starts to list all objects of a kind; completes with {@link ConfigAgent#onListed} or {@link
     * ConfigAgent#onListFailed}.
     *
     * @param kind the kind, not null
     */
    void list(String kind);

    /**
     * Starts to watch a kind; replaces any earlier watch of that kind.
     *
     * @param kind the kind, not null
     * @param revision the revision after which changes are delivered
     */
    void watch(String kind, long revision);

    /** Stops all watches, without a call of {@link ConfigAgent#onWatchClosed}. */
    void stopWatches();
}
