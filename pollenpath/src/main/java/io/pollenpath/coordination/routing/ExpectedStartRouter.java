package io.pollenpath.coordination.routing;

import java.util.random.RandomGenerator;

/**
 * Chooses the server that is expected to start the answer soonest: the one with the least work of
 * this entry, counting the part of the request that its cache does not save and the distance of its
 * zone. Weighs all servers while they are few; otherwise two that the hash of the prefix names and
 * two at random. Servers that answer far slower than the others count as having more work, and
 * stalled ones get one probe a second.
 */
public final class ExpectedStartRouter implements Router {

    private static final int SCAN_LIMIT = 32;
    private static final double MISS_WEIGHT = 12;
    private static final int HOMES = 2;
    private static final int SAMPLES = 2;
    private static final double ZONE_TOKENS = 50;
    private static final double STALLED_TOKENS = 1e12;
    private static final double SLOW_RATIO = 3;
    private static final double SLOW_FLOOR_NANOS = 20e6;
    private static final double AVERAGE_WEIGHT = 0.01;
    private static final long HOME_MIX = 0xBF58476D1CE4E5B9L;

    private final RandomGenerator random;
    private final double missWeight;
    private double averageFirstTokenNanos;

    /**
     * Creates a router.
     *
     * @param random the random source, safe for use by the calling threads, not null
     * @param missWeight how much a token that a cache would have saved weighs against a token of
     *     this entry's open work at the server, 0 or more
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
     * Creates a router with the default weight of a miss.
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
            return scan(request, candidates, nowNanos);
        }
        int best = sample(request, candidates, nowNanos);
        return best == NONE ? scan(request, candidates, nowNanos) : best;
    }

    /** Weighs two servers that the prefix names and two at random; none if all are unusable. */
    private int sample(RouteRequest request, Candidates candidates, long nowNanos) {
        int size = candidates.size();
        int best = NONE;
        double least = Double.MAX_VALUE;
        for (int i = 0; i < HOMES + SAMPLES; i++) {
            boolean isHome = i < HOMES && request.prefixHash() != 0;
            int index = isHome ? home(request.prefixHash(), i, size) : random.nextInt(size);
            if (candidates.isUsable(index)) {
                double work = work(request, candidates.stats(index), nowNanos);
                if (work < least) {
                    best = index;
                    least = work;
                }
            }
        }
        return best;
    }

    private static int home(long prefix, int number, int size) {
        int mixed = (int) (((prefix + number) * HOME_MIX) >>> Integer.SIZE);
        return Math.floorMod(mixed, size);
    }

    private int scan(RouteRequest request, Candidates candidates, long nowNanos) {
        int size = candidates.size();
        int offset = size == 0 ? 0 : random.nextInt(size);
        int best = NONE;
        double least = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            int index = offset + i < size ? offset + i : offset + i - size;
            if (candidates.isUsable(index)) {
                double work = work(request, candidates.stats(index), nowNanos);
                if (work < least) {
                    best = index;
                    least = work;
                }
            }
        }
        return best;
    }

    /** Returns what has to be done before the answer starts, in tokens. */
    private double work(RouteRequest request, ServerStats track, long nowNanos) {
        if (track.isStalled(nowNanos)) {
            return STALLED_TOKENS;
        }
        boolean hit = track.holds(request.prefixHash(), nowNanos);
        double missTokens = hit ? 0 : missWeight * request.prefixTokens();
        double distance = track.zone().equals(request.zone()) ? 0 : ZONE_TOKENS;
        return track.openTokens() * slowness(track) + missTokens + distance;
    }

    /** Returns how many times slower than the average a server answers, 1 if not far slower. */
    private double slowness(ServerStats track) {
        double own = track.firstTokenNanos();
        double average = averageFirstTokenNanos;
        averageFirstTokenNanos = average == 0 ? own : average + AVERAGE_WEIGHT * (own - average);
        boolean far = own > SLOW_FLOOR_NANOS && own > SLOW_RATIO * average;
        return far && average > 0 ? own / average : 1;
    }
}
