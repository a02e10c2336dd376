package io.pollenpath.coordination;

/** The rule that decides whether a configuration entry replaces the held one. */
@FunctionalInterface
public interface MergeRule {

    /** Accepts an entry that is newer than the held one or, if none is held, above the floor. */
    MergeRule MAXIMUM_VERSION =
            (held, offered, floor) ->
                    held == null ? offered.version() > floor : offered.version() > held.version();

    /**
     * Returns whether an entry is merged.
     *
     * @param held the held entry, null if there is none
     * @param offered the received entry, not null
     * @param floor the highest version of a dropped deletion marker of the kind, 0 if there is none
     * @return true if the offered entry replaces the held one
     */
    boolean accepts(ConfigEntry held, ConfigEntry offered, long floor);
}
