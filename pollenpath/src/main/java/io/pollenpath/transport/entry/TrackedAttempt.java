package io.pollenpath.transport.entry;

import io.pollenpath.coordination.routing.RouteRequest;
import io.pollenpath.coordination.routing.ServerStats;

/** Tells the routing knowledge of a server about one attempt: sent, first answered, ended. */
final class TrackedAttempt {

    private final ServerStats track;
    private final RouteRequest route;
    private final long sentNanos;
    private boolean answered;
    private boolean ended;

    TrackedAttempt(SideLink link, RouteRequest route, long nowNanos) {
        track = link.track();
        this.route = route;
        sentNanos = nowNanos;
        track.onSent(route, nowNanos);
    }

    synchronized void answer(long nowNanos) {
        if (!answered) {
            answered = true;
            track.onFirstToken(nowNanos - sentNanos, nowNanos);
        }
    }

    synchronized void end(long nowNanos) {
        if (!ended) {
            ended = true;
            track.onEnded(route, nowNanos);
        }
    }
}
