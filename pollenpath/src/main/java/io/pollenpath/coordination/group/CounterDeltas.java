package io.pollenpath.coordination.group;

/** Converts the cumulative counters of an engine to their increase since the previous reading. */
public final class CounterDeltas {

    private long[] previous = new long[0];

    /**
     * Returns the increase of each counter since the previous call.
     *
     * @param counters the counts since the engine started, not null
     * @return the increases; all 0 at the first call and after a change of the number of counters.
     *     A counter that is lower than before shows that the engine has restarted, so its increase
     *     is counted from 0
     */
    public long[] update(long[] counters) {
        long[] increases = new long[counters.length];
        boolean comparable = previous.length == counters.length;
        for (int i = 0; comparable && i < counters.length; i++) {
            increases[i] = counters[i] >= previous[i] ? counters[i] - previous[i] : counters[i];
        }
        previous = counters.clone();
        return increases;
    }
}
