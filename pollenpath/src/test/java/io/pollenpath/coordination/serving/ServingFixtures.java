package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.Repeatability;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.WeightedService;
import java.util.List;

/** Builds routes and servers for tests. */
public final class ServingFixtures {

    /** The service of all routes and servers. */
    public static final String SERVICE = "service";

    private ServingFixtures() {}

    /** Returns a plain route with an objective of 100 ms and a timeout of 1 s. */
    public static Route plain(Repeatability repeatability, int attempts) {
        return new Route(
                "plain",
                "host",
                "/plain/",
                repeatability,
                false,
                false,
                attempts,
                1_000,
                100,
                0,
                1,
                false,
                List.of(new WeightedService(SERVICE, 1)));
    }

    /** Returns a streaming route: objective 500 ms, gap objective 120 ms, timeout 8 s. */
    public static Route stream(boolean resumable, int attempts) {
        return new Route(
                "stream",
                "host",
                "/stream/",
                Repeatability.NON_IDEMPOTENT,
                true,
                resumable,
                attempts,
                8_000,
                500,
                120,
                1,
                false,
                List.of(new WeightedService(SERVICE, 1)));
    }

    /** Returns a server of two slots. */
    public static ServerInstance server(String id, String zone) {
        return server(id, zone, 2);
    }

    /** Returns a server with a number of slots. */
    public static ServerInstance server(String id, String zone, int slots) {
        return server(id, zone, slots, 1);
    }

    /** Returns a server of a number of slots that listens on a port. */
    public static ServerInstance server(String id, String zone, int slots, int port) {
        return new ServerInstance(id, 0, 0, SERVICE, "127.0.0.1", port, zone, slots, false);
    }
}
