package io.pollenpath.coordination.routing;

import java.util.random.RandomGenerator;

/** Chooses a usable server at random; a baseline for comparisons. */
public final class RandomRouter implements Router {

    private final RandomGenerator random;

    /**
     * Creates a router.
     *
     * @param random the random source, not null
     */
    public RandomRouter(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public int choose(RouteRequest request, Candidates candidates, long nowNanos) {
        int size = candidates.size();
        int start = size == 0 ? 0 : random.nextInt(size);
        for (int i = 0; i < size; i++) {
            int index = (start + i) % size;
            if (candidates.isUsable(index)) {
                return index;
            }
        }
        return NONE;
    }
}
