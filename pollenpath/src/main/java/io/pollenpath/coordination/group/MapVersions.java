package io.pollenpath.coordination.group;

/**
 * Versions of expert maps. A version holds the fencing token of the leader that planned the map,
 * the number of its change, and the rank on the VM of that leader, from the high bits to the low
 * ones. So versions rise with the changes of a leader and from one leader to the next.
 */
final class MapVersions {

    private static final int RANK_BITS = 10;
    private static final int TOKEN_SHIFT = 32;

    private MapVersions() {}

    /**
     * Returns the version of a map.
     *
     * @param token the fencing token of the leader
     * @param change the number of the change, from 1
     * @param leaderRank the rank on the VM of the leader, from 0 to 1,023
     */
    static long of(long token, long change, int leaderRank) {
        if (leaderRank < 0 || leaderRank >> RANK_BITS != 0) {
            throw new IllegalArgumentException(
                    "rank " + leaderRank + " does not fit in a version; use smaller groups");
        }
        return fence(token) + (change << RANK_BITS) + leaderRank;
    }

    /** Returns a version that no map has, lower than those of the maps of a leader. */
    static long fence(long token) {
        return token << TOKEN_SHIFT;
    }

    /** Returns the rank on the VM of the leader that planned a map. */
    static int leaderRank(long version) {
        return (int) (version & ((1 << RANK_BITS) - 1));
    }
}
