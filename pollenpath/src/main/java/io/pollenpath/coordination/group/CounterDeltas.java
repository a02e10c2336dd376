package io.pollenpath.coordination.group;

/** Turns the counters of an engine into what was counted since they were read before. */
public final class CounterDeltas {

    private long[] last = new long[0];

    /**
     * Takes the counters as they are now.
     *
     * @param counters the counters since the engine started, not null
     * @return how much each one has grown; 0 for all at the first call. A counter that is lower
     *     than before belongs to an engine that started again, and has grown from 0
     */
    public long[] update(long[] counters) {
        long[] grown = new long[counters.length];
        boolean comparable = last.length == counters.length;
        for (int i = 0; comparable && i < counters.length; i++) {
            grown[i] = counters[i] >= last[i] ? counters[i] - last[i] : counters[i];
        }
        last = counters.clone();
        return grown;
    }
}
