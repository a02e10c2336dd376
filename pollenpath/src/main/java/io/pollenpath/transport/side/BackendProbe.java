package io.pollenpath.transport.side;

import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.RepeatedTask;
import io.pollenpath.util.LogLine;
import java.util.concurrent.ScheduledFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks periodically whether the backend server accepts connections, and keeps one open for the
 * first request. It sends no request, because a request may have side effects on a plain service.
 */
public final class BackendProbe implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(BackendProbe.class);
    private static final long INTERVAL_MS = 1_000;

    private final HttpClient client;
    private final HttpAddress address;
    private final ScheduledFuture<?> timer;
    private volatile boolean reachable;

    /**
     * Starts probing.
     *
     * @param loops run the timer, not null
     * @param client opens the connections, not null
     * @param address where the backend server listens, not null
     */
    public BackendProbe(NettyLoops loops, HttpClient client, HttpAddress address) {
        this.client = client;
        this.address = address;
        loops.group().execute(this::probe);
        timer =
                RepeatedTask.start(
                        loops.group(), INTERVAL_MS, this::probe, BackendProbe::logFailure);
    }

    private static void logFailure(Throwable cause) {
        LOG.error("{}", LogLine.event("probe_failed").with("cause", cause));
    }

    private void probe() {
        client.connect(address).whenComplete((connected, failure) -> updateReachable(failure));
    }

    private void updateReachable(Throwable failure) {
        boolean now = failure == null;
        if (now != reachable) {
            reachable = now;
            String event = now ? "backend_reachable" : "backend_unreachable";
            LOG.info("{}", LogLine.event(event).with("address", address));
        }
    }

    /**
     * Returns whether the last probe reached the backend server.
     *
     * @return true if it did
     */
    public boolean isReachable() {
        return reachable;
    }

    @Override
    public void close() {
        timer.cancel(false);
    }
}
