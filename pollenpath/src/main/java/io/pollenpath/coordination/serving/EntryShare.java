package io.pollenpath.coordination.serving;

import io.pollenpath.util.Digests;
import java.util.Collection;

/**
 * Divides the rate that a server takes from all entries together among the entries.
 *
 * <p>The entries need not agree on more than their names. A low rate is divided among a few entries
 * only, chosen by a hash of server and entry, because each entry with a share may send one request
 * at any moment, and all of them may do so at the same one.
 */
public final class EntryShare {

    /** The entries that share the lowest rates. */
    static final int MIN_SHARING = 3;

    private EntryShare() {}

    /**
     * Returns the share of one entry.
     *
     * @param perSecond the rate of all entries together, in requests a second, not negative
     * @param serverId the identity of the server, not null
     * @param entry the name of the entry, not null
     * @param entries the names of all entries, that one included, not null
     * @return the rate of the entry, in requests a second; 0 if it has no share
     */
    public static double of(
            double perSecond, String serverId, String entry, Collection<String> entries) {
        int sharing = (int) Math.min(entries.size(), Math.floor(perSecond) + MIN_SHARING);
        long ownRank = rank(serverId, entry);
        long before = entries.stream().filter(other -> rank(serverId, other) > ownRank).count();
        return before < sharing ? perSecond / sharing : 0;
    }

    private static long rank(String serverId, String entry) {
        return Digests.hash64(serverId + "\n" + entry);
    }
}
