package io.pollenpath.coordination.limits;

/**
 * The last known request rate of one customer, seen by one entry.
 *
 * @param liveEntries the live entries that this entry knows of, itself included, at least 1
 * @param ownPerSecond the requests per second that this entry received, admitted or not
 * @param totalPerSecond the last known total of that rate over all live entries; 0 if none has been
 *     reported
 */
public record Demand(int liveEntries, double ownPerSecond, double totalPerSecond) {

    /** Checks the components. */
    public Demand {
        if (liveEntries < 1) {
            throw new IllegalArgumentException(
                    "liveEntries is "
                            + liveEntries
                            + "; it includes this entry and must be at least 1");
        }
    }
}
