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

    static final int SECONDS = 60;
    private static final double RATE = 1_000;
    private static final int BURST = 100;
    private static final int MAX_CONCURRENT = 1_000_000;
    private static final double DEMAND_FACTOR = 2;
    private static final int UNEVEN_FROM = 15;
    private static final int GONE_FROM = 30;
    private static final int GONE_UNTIL = 40;
    private static final int CUT_FROM = 50;
    private static final int TICKS_PER_SECOND = 10;
    private static final double DEMAND_WEIGHT = 0.5;
    private static final int STALE_SECONDS = 3;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final Contract CONTRACT =
            new Contract(
                    "c",
                    List.of(),
                    1,
                    RATE,
                    BURST,
                    MAX_CONCURRENT,
                    0,
                    new RequestKind("default", PriorityClass.NORMAL, true, 1_000),
                    Map.of());

    /** The limiter of one entry and its last known demand of the customer. */
    private static final class Entry {
        private final CustomerLimiter limiter = new CustomerLimiter();
        private int asked;
        private double perSecond;
        private double total;
        private int live;
        private int heardSecond;
    }

    private final AllowancePolicy policy;
    private final boolean exchanges;
    private final Entry[] entries;
    private final SplittableRandom random;
    private final Spread overshoot = new Spread();
    private final Spread underUse = new Spread();
    private long messages;

    /**
     * Runs the simulation to its end.
     *
     * @param policy divides the limit between the entries
     * @param exchanges whether the entries exchange their demand and the number of live entries
     * @param entryCount the number of entries
     * @param seed the seed of every random choice
     */
    LimitsRun(AllowancePolicy policy, boolean exchanges, int entryCount, long seed) {
        this.policy = policy;
        this.exchanges = exchanges;
        random = new SplittableRandom(seed);
        entries = new Entry[entryCount];
        for (int i = 0; i < entryCount; i++) {
            entries[i] = new Entry();
            entries[i].live = entryCount;
        }
        for (int second = 0; second < SECONDS; second++) {
            int admitted = 0;
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                admitted += tick(second, tick);
            }
            count(second, admitted);
            exchange(second);
        }
    }

    private int tick(int second, int tick) {
        long nowNanos = (second * (long) TICKS_PER_SECOND + tick) * TICK_NANOS;
        int admitted = 0;
        int arrivals = (int) (RATE * DEMAND_FACTOR / TICKS_PER_SECOND);
        for (int i = 0; i < arrivals; i++) {
            Entry entry = entries[pick(second)];
            entry.asked++;
            double fraction = part(entry, second);
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
    private double part(Entry entry, int second) {
        boolean stale = second - entry.heardSecond > STALE_SECONDS;
        double total = exchanges && !stale ? entry.total : 0;
        return policy.part(new Demand(entry.live, entry.perSecond, total));
    }

    /** Returns the index of a live entry, as the platform's balancer would choose it. */
    private int pick(int second) {
        boolean uneven = second >= UNEVEN_FROM;
        while (true) {
            double draw = random.nextDouble();
            int index = (int) ((uneven ? draw * draw * draw : draw) * entries.length);
            if (!isGone(index, second)) {
                return index;
            }
        }
    }

    private boolean isThird(int index) {
        return index % 3 == 1;
    }

    private boolean isGone(int index, int second) {
        return isThird(index) && second >= GONE_FROM && second < GONE_UNTIL;
    }

    private boolean isCut(int index, int second) {
        return isThird(index) && second >= CUT_FROM;
    }

    private void count(int second, int admitted) {
        if (second > 0) {
            overshoot.add(Math.max(0, admitted / RATE - 1));
            underUse.add(Math.max(0, 1 - admitted / RATE));
        }
    }

    private void exchange(int second) {
        double total = 0;
        int live = 0;
        for (int i = 0; i < entries.length; i++) {
            Entry entry = entries[i];
            entry.perSecond += DEMAND_WEIGHT * (entry.asked - entry.perSecond);
            entry.asked = 0;
            if (!isGone(i, second) && !isCut(i, second)) {
                total += entry.perSecond;
                live++;
            }
        }
        for (int i = 0; i < entries.length && exchanges; i++) {
            if (!isGone(i, second) && !isCut(i, second)) {
                messages += 2;
                entries[i].total = total;
                entries[i].live = live;
                entries[i].heardSecond = second;
            }
        }
    }

    Spread overshoot() {
        return overshoot;
    }

    Spread underUse() {
        return underUse;
    }

    double messagesPerSecond() {
        return (double) messages / SECONDS;
    }
}
