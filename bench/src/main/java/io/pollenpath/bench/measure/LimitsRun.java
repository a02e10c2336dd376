package io.pollenpath.bench.measure;

import io.pollenpath.coordination.limits.AllowancePolicy;
import io.pollenpath.coordination.limits.CustomerLimiter;
import io.pollenpath.coordination.limits.Demand;
import io.pollenpath.state.Contract;
import io.pollenpath.state.PriorityClass;
import io.pollenpath.state.RequestKind;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Simulates one customer that sends twice its contracted rate through several entries. The
 * platform's balancer distributes the requests evenly at first and unevenly later. Then a third of
 * the entries fails, returns, and finally is partitioned from the exchange of demand. Once per
 * second each entry sends its demand to one collector and receives the total demand and the number
 * of live entries, which it uses for the next second.
 */
final class LimitsRun {

    static final int DURATION_SECONDS = 60;
    private static final double REQUESTS_PER_SECOND = 1_000;
    private static final int BURST = 100;
    private static final int MAX_CONCURRENT = 1_000_000;
    private static final double DEMAND_FACTOR = 2;
    private static final int UNEVEN_FROM_SECOND = 15;
    private static final int DOWN_FROM_SECOND = 30;
    private static final int DOWN_UNTIL_SECOND = 40;
    private static final int PARTITIONED_FROM_SECOND = 50;
    private static final int TICKS_PER_SECOND = 10;
    private static final double DEMAND_SMOOTHING = 0.5;
    private static final int MAX_DEMAND_AGE_SECONDS = 3;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final Contract CONTRACT =
            new Contract(
                    "c",
                    List.of(),
                    1,
                    REQUESTS_PER_SECOND,
                    BURST,
                    MAX_CONCURRENT,
                    0,
                    new RequestKind("default", PriorityClass.NORMAL, true, 1_000),
                    Map.of());

    /** The limiter of one entry and its last known demand of the customer. */
    private static final class Entry {
        private final CustomerLimiter limiter = new CustomerLimiter();
        private int requestsThisSecond;
        private double demandPerSecond;
        private double totalDemandPerSecond;
        private int liveEntries;
        private int lastExchangeSecond;
    }

    private final AllowancePolicy policy;
    private final boolean exchangesDemand;
    private final Entry[] entries;
    private final SplittableRandom random;
    private final SummaryStatistics overshoot = new SummaryStatistics();
    private final SummaryStatistics underUse = new SummaryStatistics();
    private long messages;

    /**
     * Runs the simulation to its end.
     *
     * @param policy divides the limit between the entries
     * @param exchangesDemand whether the entries exchange their demand and the number of live
     *     entries
     * @param entryCount the number of entries
     * @param seed the seed of every random choice
     */
    LimitsRun(AllowancePolicy policy, boolean exchangesDemand, int entryCount, long seed) {
        this.policy = policy;
        this.exchangesDemand = exchangesDemand;
        random = new SplittableRandom(seed);
        entries = new Entry[entryCount];
        for (int i = 0; i < entryCount; i++) {
            entries[i] = new Entry();
            entries[i].liveEntries = entryCount;
        }
        for (int second = 0; second < DURATION_SECONDS; second++) {
            int admitted = 0;
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                admitted += runTick(second, tick);
            }
            recordAdmitted(second, admitted);
            exchangeDemand(second);
        }
    }

    private int runTick(int second, int tick) {
        long nowNanos = (second * (long) TICKS_PER_SECOND + tick) * TICK_NANOS;
        int admitted = 0;
        int arrivals = (int) (REQUESTS_PER_SECOND * DEMAND_FACTOR / TICKS_PER_SECOND);
        for (int i = 0; i < arrivals; i++) {
            Entry entry = entries[chooseEntry(second)];
            entry.requestsThisSecond++;
            double fraction = allowanceFraction(entry, second);
            long atNanos = nowNanos + i * TICK_NANOS / arrivals;
            if (entry.limiter.admit(CONTRACT, fraction, atNanos).admitted()) {
                admitted++;
            }
        }
        return admitted;
    }

    /**
     * Returns the fraction of the limit that an entry may admit. A total that is too old counts as
     * unknown, which is 0.
     */
    private double allowanceFraction(Entry entry, int second) {
        boolean stale = second - entry.lastExchangeSecond > MAX_DEMAND_AGE_SECONDS;
        double totalDemandPerSecond = exchangesDemand && !stale ? entry.totalDemandPerSecond : 0;
        return policy.fraction(
                new Demand(entry.liveEntries, entry.demandPerSecond, totalDemandPerSecond));
    }

    /** Returns the index of a live entry, as the platform's balancer would choose it. */
    private int chooseEntry(int second) {
        boolean uneven = second >= UNEVEN_FROM_SECOND;
        while (true) {
            double draw = random.nextDouble();
            int index = (int) ((uneven ? draw * draw * draw : draw) * entries.length);
            if (!isDown(index, second)) {
                return index;
            }
        }
    }

    private boolean isFaulty(int index) {
        return index % 3 == 1;
    }

    private boolean isDown(int index, int second) {
        return isFaulty(index) && second >= DOWN_FROM_SECOND && second < DOWN_UNTIL_SECOND;
    }

    private boolean isPartitioned(int index, int second) {
        return isFaulty(index) && second >= PARTITIONED_FROM_SECOND;
    }

    private void recordAdmitted(int second, int admitted) {
        if (second > 0) {
            overshoot.add(Math.max(0, admitted / REQUESTS_PER_SECOND - 1));
            underUse.add(Math.max(0, 1 - admitted / REQUESTS_PER_SECOND));
        }
    }

    private void exchangeDemand(int second) {
        double totalDemandPerSecond = 0;
        int liveEntries = 0;
        for (int i = 0; i < entries.length; i++) {
            Entry entry = entries[i];
            entry.demandPerSecond +=
                    DEMAND_SMOOTHING * (entry.requestsThisSecond - entry.demandPerSecond);
            entry.requestsThisSecond = 0;
            if (!isDown(i, second) && !isPartitioned(i, second)) {
                totalDemandPerSecond += entry.demandPerSecond;
                liveEntries++;
            }
        }
        for (int i = 0; i < entries.length && exchangesDemand; i++) {
            if (!isDown(i, second) && !isPartitioned(i, second)) {
                messages += 2;
                entries[i].totalDemandPerSecond = totalDemandPerSecond;
                entries[i].liveEntries = liveEntries;
                entries[i].lastExchangeSecond = second;
            }
        }
    }

    SummaryStatistics overshoot() {
        return overshoot;
    }

    SummaryStatistics underUse() {
        return underUse;
    }

    double messagesPerSecond() {
        return (double) messages / DURATION_SECONDS;
    }
}
