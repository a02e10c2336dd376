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
 * Runs one customer that asks for twice its rate through several entries. The balancer spreads it
 * evenly, then unevenly; then a third of the entries goes, comes back, and is cut off from the
 * exchange of demand. Every second each entry sends its demand to one collector and hears the total
 * and the live entries; the answer takes up to a second.
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
     * @param policy divides the limit
     * @param exchanges whether entries exchange their demand and the live entries
     * @param entryCount the entries
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
            double part = part(entry, second);
            long atNanos = nowNanos + i * TICK_NANOS / arrivals;
            if (entry.limiter.admit(CONTRACT, part, atNanos).admitted()) {
                admitted++;
            }
        }
        return admitted;
    }

    private double part(Entry entry, int second) {
        boolean stale = second - entry.heardSecond > STALE_SECONDS;
        double total = exchanges && !stale ? entry.total : 0;
        return policy.fraction(new Demand(entry.live, entry.perSecond, total));
    }

    /** Chooses an entry as the platform's balancer does. */
    private int pick(int second) {
        boolean uneven = second >= UNEVEN_FROM;
        while (true) {
            double point = random.nextDouble();
            int index = (int) ((uneven ? point * point * point : point) * entries.length);
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
