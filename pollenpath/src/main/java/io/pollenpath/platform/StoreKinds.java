package io.pollenpath.platform;

/** The platform's names of the kinds of objects in the store. */
final class StoreKinds {

    /** The manifests that operators write; {@link #NEWEST_CONFIG} names the newest one. */
    static final String CONFIG = "config";

    /** The name of the object of kind {@link #CONFIG} that holds the newest manifest. */
    static final String NEWEST_CONFIG = "main";

    /** The registrations that engines write about themselves. */
    static final String SERVERS = "servers";

    /** The registrations of the running entries. */
    static final String ENTRIES = "entries";

    /** The registrations of the agents beside engines. */
    static final String AGENTS = "agents";

    /** The leader leases, one for each rank group. */
    static final String LEASES = "leases";

    private StoreKinds() {}
}
