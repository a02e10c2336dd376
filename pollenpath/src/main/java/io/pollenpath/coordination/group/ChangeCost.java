package io.pollenpath.coordination.group;

/**
 * How long a map change takes, from the plan until all ranks use the map.
 *
 * @param overheadMs the time besides the fetches: until every rank has its order, until the leader
 *     knows that all fetches are complete, and until the ranks switch, in milliseconds
 * @param fetchMs the time in which a rank fetches one expert, in milliseconds
 */
public record ChangeCost(double overheadMs, double fetchMs) {

    /** Checks the components. */
    public ChangeCost {
        if (!(overheadMs >= 0 && fetchMs >= 0)) {
            throw new IllegalArgumentException(
                    "a map change cannot take less than no time; give times of 0 ms or more");
        }
    }

    /**
     * Returns the time of a change.
     *
     * @param fetchesPerRank the fetches of the rank that has most of them
     * @return the time, in milliseconds
     */
    public double changeMs(int fetchesPerRank) {
        return overheadMs + fetchMs * fetchesPerRank;
    }
}
