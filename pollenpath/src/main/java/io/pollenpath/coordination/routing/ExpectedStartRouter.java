package io.pollenpath.coordination.routing;

import java.util.random.RandomGenerator;

/**
 * Chooses the server that is expected to start the answer soonest, by an estimated cost in tokens:
 * this entry's open work at the server, the weighted prompt tokens that a cached prefix would have
 * saved, and a penalty for another availability zone.
 *
 * <p>Compares all servers if there are at most 32; otherwise two that the hash of the prefix
 * selects and two at random, or four at random without a prefix. The open work of servers that
 * answer far slower than average is scaled up, and a stalled server gets one probe request per
 * second.
 */
public final class ExpectedStartRouter implements Router {

    private static final int SCAN_LIMIT = 32;
    private static final double MISS_WEIGHT = 12;
    private static final int HASHED_CANDIDATES = 2;
    private static final int RANDOM_CANDIDATES = 2;
    private static final double CROSS_ZONE_TOKENS = 50;
    private static final double STALLED_COST_TOKENS = 1e12;
    private static final double SLOW_RATIO = 3;
    private static final double MIN_SLOW_NANOS = 20e6;
    private static final double SAMPLE_WEIGHT = 0.01;
    private static final long HASH_MULTIPLIER = 0xBF58476D1CE4E5B9L;

    private final RandomGenerator random;
    private final double missWeight;
    private double averageFirstTokenNanos;

    /**
     * Creates a router.
     *
     * @param random the random source, safe for use by the calling threads, not null
     * @param missWeight the cost of a token that a cached prefix would have saved, relative to a
     *     token of this entry's open work at the server, 0 or more
     * @throws IllegalArgumentException if the weight is negative
     */
    public ExpectedStartRouter(RandomGenerator random, double missWeight) {
        if (!(missWeight >= 0)) {
            throw new IllegalArgumentException("missWeight is " + missWeight + "; set at least 0");
        }
        this.random = random;
        this.missWeight = missWeight;
    }

    /**
     * Creates a router with the default cost of a cache miss.
     *
     * @param random the random source, safe for use by the calling threads, not null
     * @return the router
     */
    public static ExpectedStartRouter create(RandomGenerator random) {
        return new ExpectedStartRouter(random, MISS_WEIGHT);
    }

    @Override
    public int choose(RouteRequest request, Candidates candidates, long nowNanos) {
        int size = candidates.size();
        if (size <= SCAN_LIMIT) {
            return chooseFromAll(request, candidates, nowNanos);
        }
        int best = chooseFromSample(request, candidates, nowNanos);
        return best == NONE ? chooseFromAll(request, candidates, nowNanos) : best;
    }

    /**
     * Chooses among two servers that the prefix hash selects and two random ones; {@link #NONE} if
     * all four are unusable.
     */
    private int chooseFromSample(RouteRequest request, Candidates candidates, long nowNanos) {
        int size = candidates.size();
        int best = NONE;
        double lowestCost = Double.MAX_VALUE;
        for (int i = 0; i < HASHED_CANDIDATES + RANDOM_CANDIDATES; i++) {
            boolean isHashed = i < HASHED_CANDIDATES && request.prefixHash() != 0;
            int index =
                    isHashed ? hashedIndex(request.prefixHash(), i, size) : random.nextInt(size);
            if (candidates.isUsable(index)) {
                double cost = cost(request, candidates.stats(index), nowNanos);
                if (cost < lowestCost) {
                    best = index;
                    lowestCost = cost;
                }
            }
        }
        return best;
    }

    private static int hashedIndex(long prefixHash, int number, int size) {
        int hash = (int) (((prefixHash + number) * HASH_MULTIPLIER) >>> Integer.SIZE);
        return Math.floorMod(hash, size);
    }

    private int chooseFromAll(RouteRequest request, Candidates candidates, long nowNanos) {
        int size = candidates.size();
        int offset = size == 0 ? 0 : random.nextInt(size);
        int best = NONE;
        double lowestCost = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            int index = offset + i < size ? offset + i : offset + i - size;
            if (candidates.isUsable(index)) {
                double cost = cost(request, candidates.stats(index), nowNanos);
                if (cost < lowestCost) {
                    best = index;
                    lowestCost = cost;
                }
            }
        }
        return best;
    }

    /** Returns the estimated work before the answer can start, in tokens. */
    private double cost(RouteRequest request, ServerStats stats, long nowNanos) {
        if (stats.isStalled(nowNanos)) {
            return STALLED_COST_TOKENS;
        }
        boolean hit = stats.hasCachedPrefix(request.prefixHash(), nowNanos);
        double missTokens = hit ? 0 : missWeight * request.prefixTokens();
        double zoneTokens = stats.zone().equals(request.zone()) ? 0 : CROSS_ZONE_TOKENS;
        return stats.openTokens() * slowdown(stats) + missTokens + zoneTokens;
    }

    /**
     * Returns the time to first token of a server relative to the average, 1 unless it is far
     * slower, and updates the average.
     */
    private double slowdown(ServerStats stats) {
        double ownNanos = stats.firstTokenNanos();
        double averageNanos = averageFirstTokenNanos;
        averageFirstTokenNanos =
                averageNanos == 0
                        ? ownNanos
                        : averageNanos + SAMPLE_WEIGHT * (ownNanos - averageNanos);
        boolean slow = ownNanos > MIN_SLOW_NANOS && ownNanos > SLOW_RATIO * averageNanos;
        return slow && averageNanos > 0 ? ownNanos / averageNanos : 1;
    }
}
