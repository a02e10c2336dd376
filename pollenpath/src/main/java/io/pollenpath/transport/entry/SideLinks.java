package io.pollenpath.transport.entry;

import io.pollenpath.coordination.routing.Candidates;
import io.pollenpath.coordination.routing.RouteRequest;
import io.pollenpath.coordination.routing.Router;
import io.pollenpath.coordination.routing.ServerStats;
import io.pollenpath.state.BackendServer;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.PeerHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Keeps a link to each declared side process and chooses among them. */
final class SideLinks implements AutoCloseable {

    private final NettyLoops loops;
    private final Router router;
    private final PeerHandler configPeers;
    private volatile Map<String, SideLink> links = Map.of();
    private volatile ConfigSnapshot config = ConfigSnapshot.EMPTY;

    SideLinks(NettyLoops loops, Router router, PeerHandler configPeers) {
        this.loops = loops;
        this.router = router;
        this.configPeers = configPeers;
    }

    /** Opens links to new servers and closes those to removed ones; on the control thread. */
    void onConfig(ConfigSnapshot snapshot) {
        Map<String, SideLink> next = new HashMap<>();
        for (BackendServer server : snapshot.servers()) {
            SideLink held = links.get(server.name());
            boolean same = held != null && sameAddress(held.server(), server);
            next.put(server.name(), same ? held : new SideLink(loops, server, configPeers));
        }
        List<SideLink> gone = new ArrayList<>(links.values());
        gone.removeAll(next.values());
        links = Map.copyOf(next);
        config = snapshot;
        gone.forEach(SideLink::retire);
    }

    private static boolean sameAddress(BackendServer a, BackendServer b) {
        return a.sideHost().equals(b.sideHost()) && a.sidePort() == b.sidePort();
    }

    SideLink link(String server) {
        return links.get(server);
    }

    /** Tells whether any server of a target is declared. */
    boolean isKnown(String target) {
        return !config.serversOf(target).isEmpty();
    }

    /** Chooses a server that accepts work, or null if none does. */
    SideLink choose(String target, RouteRequest request, Set<String> tried, long nowNanos) {
        TargetLinks candidates = new TargetLinks(config.serversOf(target), links, tried);
        int index = router.choose(request, candidates, nowNanos);
        return index == Router.NONE ? null : candidates.link(index);
    }

    /** Shows the links of one target to the router. */
    private record TargetLinks(
            List<BackendServer> servers, Map<String, SideLink> links, Set<String> tried)
            implements Candidates {

        SideLink link(int index) {
            return links.get(servers.get(index).name());
        }

        @Override
        public int size() {
            return servers.size();
        }

        @Override
        public boolean isUsable(int index) {
            BackendServer server = servers.get(index);
            SideLink link = links.get(server.name());
            boolean open = link != null && link.isAccepting() && !server.drained();
            return open && !tried.contains(server.name());
        }

        @Override
        public ServerStats stats(int index) {
            return link(index).track();
        }
    }

    long readyCount() {
        return links.values().stream().filter(SideLink::isAccepting).count();
    }

    @Override
    public void close() {
        links.values().forEach(SideLink::close);
    }
}
