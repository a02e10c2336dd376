package io.pollenpath.platform;

import io.pollenpath.standin.platform.EngineFault;
import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * An engine that starts again after its process ended, at the same address and with a new identity,
 * and registers itself in the store. The path of a request tells what the request does.
 */
final class RestartingEngine implements AutoCloseable {

    /** Requests with this path, or one below it, end the process of the engine that runs them. */
    static final String CRASHING_PATH = "/plain/crash";

    /** Requests with this in their query, at any path, do so too. */
    static final String CRASHING_QUERY = "?ends=";

    /**
     * Like {@link #CRASHING_PATH}, but half of the requests are answered with a failure at once.
     */
    static final String FAILING_OR_CRASHING_PATH = "/plain/fail-or-crash";

    /** Requests with this path are run and get no answer; the engine goes on. */
    static final String LOST_PATH = "/plain/lost";

    /** Requests with this path take {@link #LONG_WORK_MS}. */
    static final String LONG_PATH = "/plain/long";

    /** The work on a request with {@link #LONG_PATH}, in milliseconds. */
    static final long LONG_WORK_MS = 450;

    private static final long SHORT_WORK_MS = 10;
    private static final long CRASH_DELAY_MS = 50;
    private static final long DEFAULT_RESTART_MS = 1_000;

    private final String name;
    private final String service;
    private final PlatformStoreStandin store;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashNanos = new CopyOnWriteArrayList<>();
    private final List<End> ends = new CopyOnWriteArrayList<>();
    private final List<String> runningPaths = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
    private final int port;
    private volatile PlatformEngineStandin process;
    private volatile String limit = "";
    private volatile LongSupplier restartDelayMs = () -> DEFAULT_RESTART_MS;
    private volatile boolean refusing;
    private boolean ended;
    private int boots;

    /**
     * The end of one process of the engine.
     *
     * @param nanos the time, in nanoseconds
     * @param runningPaths the paths of the requests that it was running
     */
    record End(long nanos, Set<String> runningPaths) {}

    /**
     * A request that the engine received.
     *
     * @param nanos the time, in nanoseconds
     * @param requestId the ID that the caller gave to the attempt
     * @param path the path
     */
    record Arrival(long nanos, String requestId, String path) {}

    RestartingEngine(String name, String service, PlatformStoreStandin store) throws IOException {
        this.name = name;
        this.service = service;
        this.store = store;
        process = new PlatformEngineStandin(id(), 0, this::work);
        port = process.port();
        register();
    }

    /** Writes the registration of the engine to the store. */
    void register() {
        store.put(StoreKinds.SERVERS, id(), PlatformFixtures.serverEntry(service, port));
    }

    private String id() {
        return name + "-" + boots;
    }

    private EngineFault work(PlatformEngineStandin.ReceivedRequest request) {
        arrivals.add(new Arrival(System.nanoTime(), request.header("request-id"), request.path()));
        runningPaths.add(request.path());
        try {
            return run(request);
        } finally {
            runningPaths.remove(request.path());
        }
    }

    private EngineFault run(PlatformEngineStandin.ReceivedRequest request) {
        if (refusing) {
            return EngineFault.NOT_RUN;
        }
        boolean crashing = request.path().contains(CRASHING_QUERY);
        if (crashing || pathOnly(request.path()).startsWith(CRASHING_PATH)) {
            return crashWhileRunning();
        }
        switch (pathOnly(request.path())) {
            case FAILING_OR_CRASHING_PATH -> {
                return arrivals.size() % 2 == 0 ? EngineFault.FAILS : crashWhileRunning();
            }
            case LOST_PATH -> {
                return EngineFault.ANSWER_LOST;
            }
            case LONG_PATH -> Pause.forMs(LONG_WORK_MS);
            default -> Pause.forMs(SHORT_WORK_MS);
        }
        return EngineFault.NONE;
    }

    private EngineFault crashWhileRunning() {
        Pause.forMs(CRASH_DELAY_MS);
        try {
            kill();
        } catch (IOException e) {
            throw new IllegalStateException("the engine can't be ended", e);
        }
        return EngineFault.ANSWER_LOST;
    }

    private static String pathOnly(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private synchronized void onEnd() {
        ended = true;
        long nowNanos = System.nanoTime();
        crashNanos.add(nowNanos);
        ends.add(new End(nowNanos, Set.copyOf(runningPaths)));
        restarts.schedule(this::restart, restartDelayMs.getAsLong(), TimeUnit.MILLISECONDS);
    }

    private synchronized void restart() {
        store.delete(StoreKinds.SERVERS, id());
        ended = false;
        boots++;
        try {
            process = new PlatformEngineStandin(id(), port, this::work);
            process.nameLimit(limit);
        } catch (IOException e) {
            throw new IllegalStateException("the engine can't listen again on port " + port, e);
        }
        register();
    }

    /** Ends the process; it starts again after a while. */
    synchronized void kill() throws IOException {
        if (!ended) {
            process.crash();
            onEnd();
        }
    }

    /** Announces the end of the engine, as before a planned stop. */
    void announceEnd() {
        store.put(
                StoreKinds.SERVERS,
                id(),
                PlatformFixtures.serverEntry(service, port).put("State", "draining"));
    }

    /** Names a limit in later answers; an empty text names none. */
    void nameLimit(String perSecond) {
        limit = perSecond;
        process.nameLimit(perSecond);
    }

    /** Replaces the source of the times after which ended processes start again. */
    void setRestartDelayMs(LongSupplier newRestartDelayMs) {
        restartDelayMs = newRestartDelayMs;
    }

    /** Returns the ends of processes, oldest first. */
    List<End> ends() {
        return ends;
    }

    /** Says in later answers, and nowhere else, that the process leaves. */
    void sayLeaving() {
        process.sayLeaving();
    }

    /** Refuses the requests of a while, and names the time for which it wants none. */
    void refuse(String retryAfterSeconds) {
        process.nameRefusalTime(retryAfterSeconds);
        refusing = true;
    }

    /** Runs requests again. */
    void stopRefusing() {
        refusing = false;
    }

    /** Returns the requests that reached the engine, oldest first. */
    List<Arrival> arrivals() {
        return arrivals;
    }

    /** Returns the times at which the process ended, in nanoseconds, oldest first. */
    List<Long> crashNanos() {
        return crashNanos;
    }

    @Override
    public void close() throws IOException {
        restarts.shutdownNow();
        process.close();
    }
}
