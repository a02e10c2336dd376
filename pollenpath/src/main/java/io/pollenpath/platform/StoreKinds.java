package io.pollenpath.platform;

/** Names the kinds of objects in the store. */
final class StoreKinds {

    /** What operators declare; the object {@link #NEWEST_CONFIG} holds the newest version. */
    static final String CONFIG = "config";

    /** The object of kind {@link #CONFIG} with the newest version. */
    static final String NEWEST_CONFIG = "main";

    /** The entries that engines write about themselves. */
    static final String SERVERS = "servers";

    /** The announcements of the system's entries. */
    static final String ENTRIES = "entries";

    /** The announcements of the agents beside engines. */
    static final String AGENTS = "agents";

    /** The leader of each rank group. */
    static final String LEASES = "leases";

    private StoreKinds() {}
}
