package io.pollenpath.transport.entry;

import io.pollenpath.coordination.routing.RouteRequest;
import io.pollenpath.coordination.routing.ServerStats;

/**
 * Reports one attempt to the routing statistics of its server: when it was sent, first answered and
 * ended. Each event is reported at most once.
 */
final class TrackedAttempt {

    private final ServerStats stats;
    private final RouteRequest route;
    private final long sentNanos;
    private boolean answered;
    private boolean ended;

    TrackedAttempt(SideLink link, RouteRequest route, long nowNanos) {
        stats = link.stats();
        this.route = route;
        sentNanos = nowNanos;
        stats.onSent(route, nowNanos);
    }

    synchronized void markAnswered(long nowNanos) {
        if (!answered) {
            answered = true;
            stats.onFirstToken(nowNanos - sentNanos, nowNanos);
        }
    }

    synchronized void markEnded(long nowNanos) {
        if (!ended) {
            ended = true;
            stats.onEnded(route, nowNanos);
        }
    }
}
