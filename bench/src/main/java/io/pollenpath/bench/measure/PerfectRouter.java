package io.pollenpath.bench.measure;

import io.pollenpath.coordination.routing.Candidates;
import io.pollenpath.coordination.routing.RouteRequest;
import io.pollenpath.coordination.routing.Router;
import java.util.List;

/**
 * Routes with perfect information: reads the current state of the engines, which a real entry
 * cannot know. It is the baseline for the best possible routing.
 */
final class PerfectRouter implements Router {

    private final List<FakeEngine> engines;
    private final double missWeight;

    PerfectRouter(List<FakeEngine> engines, double missWeight) {
        this.engines = engines;
        this.missWeight = missWeight;
    }

    @Override
    public int choose(RouteRequest request, Candidates candidates, long nowNanos) {
        int best = NONE;
        double minWork = Double.MAX_VALUE;
        for (FakeEngine engine : engines) {
            boolean hit = engine.isCachedOrPending(request.prefixHash());
            double work = engine.pendingTokens() * engine.slowdown();
            work += hit ? 0 : missWeight * request.prefixTokens();
            if (work < minWork) {
                minWork = work;
                best = engine.index;
            }
        }
        return best;
    }
}
