package io.pollenpath.coordination.routing;

import java.util.concurrent.atomic.AtomicInteger;

/** Chooses the servers in turn (round robin); a baseline for comparisons. */
public final class RoundRobinRouter implements Router {

    private final AtomicInteger next = new AtomicInteger();

    @Override
    public int choose(RouteRequest request, Candidates candidates, long nowNanos) {
        int size = candidates.size();
        for (int i = 0; i < size; i++) {
            int index = Math.floorMod(next.getAndIncrement(), size);
            if (candidates.isUsable(index)) {
                return index;
            }
        }
        return NONE;
    }
}
