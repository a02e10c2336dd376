package io.pollenpath.coordination.routing;

/**
 * Chooses the server with the fewest open requests of this entry, and among equals one in the
 * entry's zone; a baseline for comparisons.
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
        int requestsA = a.openRequests();
        int requestsB = b.openRequests();
        if (requestsA != requestsB) {
            return requestsA < requestsB;
        }
        boolean sameZoneA = a.zone().equals(request.zone());
        boolean sameZoneB = b.zone().equals(request.zone());
        return sameZoneA && !sameZoneB;
    }
}
