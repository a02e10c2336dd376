package io.pollenpath.coordination.routing;

/**
 * Chooses the server with the fewest open requests of this entry, its own zone first; a baseline.
 */
public final class LeastInFlightRouter implements Router {

    @Override
    public int choose(RouteRequest request, Candidates candidates, long nowNanos) {
        int best = NONE;
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.isUsable(i)
                    && (best == NONE
                            || isBetter(request, candidates.stats(i), candidates.stats(best)))) {
                best = i;
            }
        }
        return best;
    }

    private static boolean isBetter(RouteRequest request, ServerStats a, ServerStats b) {
        int openA = a.open();
        int openB = b.open();
        if (openA != openB) {
            return openA < openB;
        }
        boolean nearA = a.zone().equals(request.zone());
        boolean nearB = b.zone().equals(request.zone());
        return nearA && !nearB;
    }
}
