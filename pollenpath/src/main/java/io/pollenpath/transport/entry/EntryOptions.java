package io.pollenpath.transport.entry;

/**
 * The settings of an entry process.
 *
 * @param name the name of this process, unique among entries, not null
 * @param zone its availability zone, not null
 * @param maxAttempts the most attempts for one request, at least 1
 * @param delivery the limits for sending answers to callers, not null
 * @param liveEntries the number of entries, this one included, that serve callers and divide each
 *     customer's limits among them, at least 1
 */
public record EntryOptions(
        String name, String zone, int maxAttempts, DeliveryLimits delivery, int liveEntries) {

    /** Checks the number of live entries. */
    public EntryOptions {
        if (liveEntries < 1) {
            throw new IllegalArgumentException(
                    "liveEntries is " + liveEntries + "; set at least 1, this entry included");
        }
    }
}
