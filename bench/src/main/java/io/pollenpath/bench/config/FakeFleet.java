package io.pollenpath.bench.config;

import io.pollenpath.coordination.ConfigAgent;
import io.pollenpath.coordination.ConfigAgentOptions;
import io.pollenpath.coordination.ConfigEntry;
import io.pollenpath.coordination.ConfigMessage;
import io.pollenpath.protocol.ConfigFrames;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Simulated fleet that runs the configuration agents of entries and side processes. Each entry has
 * a link to each side process; the links delay and lose messages.
 */
public final class FakeFleet {

    /** Object kind of contracts. */
    public static final String CONTRACT = "Contract";

    /** Object kind of backend servers. */
    public static final String SERVER = "BackendServer";

    /** Object kind of drains. */
    public static final String DRAIN = "Drain";

    private static final List<String> KINDS = List.of(CONTRACT, SERVER, DRAIN);
    private static final int ENTRIES_PER_1000 = 374;
    private static final int PACKET_OVERHEAD_BYTES = 58;
    private static final long MAX_MESSAGES_PER_AGENT = 3_000;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MIN_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final FleetShape shape;
    private final SimulatedClock clock = new SimulatedClock();
    private final SplittableRandom random;
    private final FakeStore store;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Change> trackedChanges = new ArrayList<>();
    private BiPredicate<Integer, Integer> linkUp = (a, b) -> true;
    private long reversions;
    private long messages;

    /** A change of the store with the times after which it took effect, by process index. */
    private record Change(
            ConfigEntry entry, long writtenNanos, Map<Integer, Long> effectiveAfterNanos) {}

    /**
     * Creates a fleet without running processes.
     *
     * @param shape the size and the injected faults of the fleet, not null
     * @param seed the seed of the random number generators
     */
    public FakeFleet(FleetShape shape, long seed) {
        this.shape = shape;
        random = new SplittableRandom(seed);
        store = new FakeStore(clock, random.split());
        for (int i = 0; i < shape.agents(); i++) {
            nodes.add(null);
        }
    }

    /**
     * Returns the configuration store.
     *
     * @return the store
     */
    public FakeStore store() {
        return store;
    }

    /**
     * Returns the simulated clock.
     *
     * @return the clock
     */
    public SimulatedClock clock() {
        return clock;
    }

    /**
     * Returns the size of the fleet.
     *
     * @return the number of processes, running or not
     */
    public int size() {
        return nodes.size();
    }

    /** Starts every process, in the order of their indexes. */
    public void startAll() {
        for (int i = 0; i < nodes.size(); i++) {
            start(i);
        }
    }

    /**
     * Starts a process. An earlier incarnation is killed first, and its state is lost.
     *
     * @param index the index of the process
     */
    public void start(int index) {
        stop(index);
        Node node = new Node(index);
        nodes.set(index, node);
        for (int other = 0; other < nodes.size(); other++) {
            if (nodes.get(other) != null && hasLink(index, other)) {
                node.agent.peerOpened(other);
                nodes.get(other).agent.peerOpened(index);
            }
        }
        node.tick();
    }

    /**
     * Kills a process; does nothing if it does not run.
     *
     * @param index the index of the process
     */
    public void stop(int index) {
        Node node = nodes.set(index, null);
        if (node == null) {
            return;
        }
        node.running = false;
        node.client.stop();
        for (Node other : nodes) {
            if (other != null) {
                other.agent.peerClosed(index);
            }
        }
    }

    private boolean hasLink(int a, int b) {
        return shape.linked() && isEntry(a) != isEntry(b);
    }

    /**
     * Returns whether a process is an entry.
     *
     * @param index the index of the process
     * @return true if it is an entry, false if it is a side process
     */
    public boolean isEntry(int index) {
        return index * 1_000L < (long) ENTRIES_PER_1000 * shape.agents();
    }

    /**
     * Returns the zone of a process.
     *
     * @param index the index of the process
     * @return the index of the zone
     */
    public int zone(int index) {
        return index % shape.zones();
    }

    /**
     * Sets which links work.
     *
     * @param up returns whether a message from the first process reaches the second, not null
     */
    public void setLinkUp(BiPredicate<Integer, Integer> up) {
        linkUp = up;
    }

    /**
     * Starts to measure how long a change of the store takes to reach each process.
     *
     * @param entry the entry that was written, not null
     */
    public void trackChange(ConfigEntry entry) {
        trackedChanges.add(new Change(entry, clock.nowNanos(), new HashMap<>()));
    }

    /**
     * Returns the configuration agent of a running process.
     *
     * @param index the index of the process
     * @return the agent
     */
    public ConfigAgent<Integer> agent(int index) {
        return nodes.get(index).agent;
    }

    /**
     * Returns how long each tracked change took to become effective in each running process.
     *
     * @return the times in nanoseconds, sorted; {@link Long#MAX_VALUE} where a change is not
     *     effective
     */
    public List<Long> propagationNanos() {
        List<Long> all = new ArrayList<>();
        for (Change change : trackedChanges) {
            for (Node node : nodes) {
                if (node != null) {
                    all.add(change.effectiveAfterNanos().getOrDefault(node.index, Long.MAX_VALUE));
                }
            }
        }
        all.sort(null);
        return all;
    }

    /**
     * Returns how often a process has replaced an object by an older version.
     *
     * @return the number of reversions
     */
    public long reversions() {
        return reversions;
    }

    /**
     * Returns whether the processes have sent far more messages than normal operation needs.
     * Messages beyond the limit are dropped, so that the simulation ends even if a fault makes the
     * processes answer each other endlessly.
     *
     * @return true if the limit was exceeded
     */
    public boolean isFlooded() {
        return messages > MAX_MESSAGES_PER_AGENT * shape.agents();
    }

    /**
     * Counts the running processes whose view of the objects differs from the store.
     *
     * @return the number of processes
     */
    public long differingFromStoreCount() {
        Map<String, Long> expected = new HashMap<>();
        KINDS.forEach(k -> store.stored(k).forEach(e -> expected.put(e.key(), e.version())));
        return nodes.stream().filter(n -> n != null && !n.liveVersions().equals(expected)).count();
    }

    /**
     * Counts the running processes that watch the store.
     *
     * @return the number of processes
     */
    public long watching() {
        return nodes.stream().filter(n -> n != null && n.agent.isWatching()).count();
    }

    /** Resets the counts of bytes and calls to zero. */
    public void resetCounts() {
        store.resetCounts();
        nodes.stream().filter(n -> n != null).forEach(n -> n.bytes = 0);
    }

    /**
     * Returns the traffic of the process that has sent and received the most since the last reset.
     *
     * @return the number of bytes
     */
    public long maxBytes() {
        return nodes.stream().filter(n -> n != null).mapToLong(n -> n.bytes).max().orElse(0);
    }

    /**
     * Returns the mean traffic of a process, sent and received, since the last reset.
     *
     * @return the number of bytes
     */
    public double meanBytes() {
        return nodes.stream().filter(n -> n != null).mapToLong(n -> n.bytes).average().orElse(0);
    }

    private void deliver(int from, int to, ConfigMessage message) {
        messages++;
        if (isFlooded()) {
            return;
        }
        int size = ConfigFrames.toFrame(message).build().getSerializedSize();
        int bytes = size + PACKET_OVERHEAD_BYTES;
        nodes.get(from).bytes += bytes;
        if (!linkUp.test(from, to) || random.nextDouble() < shape.messageLoss()) {
            return;
        }
        Node receiver = nodes.get(to);
        long delayNanos = random.nextLong(MIN_DELAY_NANOS, MAX_DELAY_NANOS);
        clock.schedule(
                delayNanos,
                () -> {
                    if (receiver != null && receiver.running) {
                        receiver.bytes += bytes;
                        receiver.agent.onMessage(from, message, clock.nowNanos());
                    }
                });
    }

    /** A running process, or one that has been killed. */
    private final class Node {
        private final int index;
        private final FakeStore.Client client;
        private final ConfigAgent<Integer> agent;
        private final Map<String, Long> highestVersions = new HashMap<>();
        private boolean running = true;
        private long bytes;

        Node(int index) {
            this.index = index;
            client = store.connect(received -> bytes += received);
            agent =
                    new ConfigAgent<>(
                            new ConfigAgentOptions(
                                    "p" + index,
                                    "zone-" + zone(index),
                                    1,
                                    KINDS,
                                    shape.watchersPerZone()),
                            shape.rule(),
                            client,
                            (peer, message) -> deliver(index, peer, message),
                            this::onChange,
                            random.split(),
                            clock.nowNanos());
            client.setAgent(agent);
        }

        private void tick() {
            if (running) {
                agent.tick(clock.nowNanos());
                clock.schedule(TICK_NANOS, this::tick);
            }
        }

        private void onChange() {
            if (shape.linked()) {
                agent.setZoneSize((int) Math.max(1, serversInZone()));
            }
            for (ConfigEntry entry : agent.replica().entries()) {
                long highestVersion =
                        highestVersions.merge(entry.key(), entry.version(), Math::max);
                reversions += entry.version() < highestVersion ? 1 : 0;
            }
            for (Change change : trackedChanges) {
                ConfigEntry current = agent.replica().find(change.entry().key());
                if (current != null && current.version() >= change.entry().version()) {
                    long elapsedNanos = clock.nowNanos() - change.writtenNanos();
                    change.effectiveAfterNanos().putIfAbsent(index, elapsedNanos);
                }
            }
        }

        private long serversInZone() {
            String zone = "zone-" + zone(index);
            return agent.replica().entries().stream()
                    .filter(e -> e.kind().equals(SERVER) && e.json().contains(zone))
                    .count();
        }

        private Map<String, Long> liveVersions() {
            Map<String, Long> versions = new HashMap<>();
            for (ConfigEntry entry : agent.replica().entries()) {
                if (!entry.deleted()) {
                    versions.put(entry.key(), entry.version());
                }
            }
            return versions;
        }
    }
}
