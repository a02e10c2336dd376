package io.pollenpath.bench.prove;

import io.pollenpath.bench.config.FakeFleet;
import io.pollenpath.bench.config.FleetContent;
import io.pollenpath.bench.config.FleetShape;
import io.pollenpath.coordination.ConfigAgent;
import io.pollenpath.coordination.ConfigAgentOptions;
import io.pollenpath.coordination.MergeRule;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Lists the cases which check, in simulated time, that every agent applies an accepted change of
 * configuration within a time limit and never reverts to an older version.
 */
public final class ConfigFaultCases {

    private static final String GUARANTEE = "config-in-force";
    private static final int AGENTS = 48;
    private static final int ZONES = 4;
    private static final double MESSAGE_LOSS_PROBABILITY = 0.02;
    private static final long MAX_PROPAGATION_S = 8;
    private static final long MAX_RELIST_S = 95;
    private static final long MAX_WATCHER_TAKEOVER_S = 25;

    private final MergeRule rule;

    /**
     * Creates the cases.
     *
     * @param rule decides whether a received configuration entry replaces the one held, not null
     */
    public ConfigFaultCases(MergeRule rule) {
        this.rule = rule;
    }

    /**
     * Returns the cases.
     *
     * @return the cases, none of which starts a process
     */
    public List<FaultCase> cases() {
        return List.of(
                faultCase("watch-gap", this::watchGap),
                faultCase("watch-loses-silently", this::watchLosesSilently),
                faultCase("peers-lag", this::peersLag),
                faultCase("start-in-outage-lagging-peers", this::startInOutage),
                faultCase("operators-race", this::operatorsRace),
                faultCase("watchers-of-zone-killed", this::zoneWatchersKilled),
                faultCase("all-watchers-killed", this::allWatchersKilled),
                faultCase("zones-apart", this::zonesApart),
                faultCase("store-restored-from-backup", this::storeRestored));
    }

    private static FaultCase faultCase(String fault, FaultCase.Trial trial) {
        return new FaultCase(GUARANTEE, fault, false, trial);
    }

    private FakeFleet startFleet(long seed) {
        FakeFleet fleet =
                new FakeFleet(
                        new FleetShape(
                                AGENTS,
                                ZONES,
                                ConfigAgentOptions.DEFAULT_WATCHERS_PER_ZONE,
                                true,
                                MESSAGE_LOSS_PROBABILITY,
                                rule),
                        seed);
        FleetContent.fill(fleet);
        fleet.startAll();
        runSeconds(fleet, 20);
        return fleet;
    }

    private static void runSeconds(FakeFleet fleet, long seconds) {
        fleet.clock().advance(TimeUnit.SECONDS.toNanos(seconds));
    }

    private static void changeAndTrack(FakeFleet fleet, int contract) {
        fleet.trackChange(FleetContent.changeContract(fleet, contract));
    }

    /** Returns how many times an agent applied a change later than the limit. */
    private static int lateCount(FakeFleet fleet, long limitSeconds) {
        long limitNanos = TimeUnit.SECONDS.toNanos(limitSeconds);
        return (int) fleet.propagationNanos().stream().filter(took -> took > limitNanos).count();
    }

    private static int violations(FakeFleet fleet, long limitSeconds) {
        return lateCount(fleet, limitSeconds)
                + (int) fleet.reversions()
                + (int) fleet.differingFromStoreCount()
                + (fleet.isFlooded() ? 1 : 0);
    }

    private int watchGap(long seed) {
        FakeFleet fleet = startFleet(seed);
        fleet.store().closeWatches();
        changeAndTrack(fleet, 1);
        fleet.store().delete(FakeFleet.CONTRACT, "customer-2");
        runSeconds(fleet, MAX_PROPAGATION_S);
        return violations(fleet, MAX_PROPAGATION_S);
    }

    private int watchLosesSilently(long seed) {
        FakeFleet fleet = startFleet(seed);
        fleet.store().setWatchLossProbability(1);
        changeAndTrack(fleet, 1);
        fleet.store().delete(FakeFleet.CONTRACT, "customer-2");
        runSeconds(fleet, MAX_RELIST_S);
        return violations(fleet, MAX_RELIST_S);
    }

    private int peersLag(long seed) {
        FakeFleet fleet = startFleet(seed);
        SplittableRandom random = new SplittableRandom(seed);
        boolean[] partitioned = new boolean[AGENTS];
        for (int i = 0; i < AGENTS; i++) {
            partitioned[i] = random.nextInt(3) == 0 && !fleet.agent(i).isWatching();
        }
        fleet.setLinkUp((a, b) -> partitioned[a] == partitioned[b]);
        for (int i = 0; i < 5; i++) {
            FleetContent.changeContract(fleet, i);
        }
        fleet.store().delete(FakeFleet.CONTRACT, "customer-9");
        runSeconds(fleet, 3);
        fleet.setLinkUp((a, b) -> true);
        changeAndTrack(fleet, 5);
        runSeconds(fleet, MAX_PROPAGATION_S);
        return violations(fleet, MAX_PROPAGATION_S);
    }

    private int startInOutage(long seed) {
        FakeFleet fleet = startFleet(seed);
        boolean[] lagging = new boolean[AGENTS];
        for (int i = 0; i < AGENTS; i += 4) {
            lagging[i] = !fleet.agent(i).isWatching();
        }
        fleet.setLinkUp((a, b) -> lagging[a] == lagging[b]);
        changeAndTrack(fleet, 1);
        runSeconds(fleet, 3);
        fleet.store().setDown(true);
        fleet.setLinkUp((a, b) -> true);
        int startedIndex = new SplittableRandom(seed).nextInt(AGENTS);
        fleet.start(startedIndex);
        runSeconds(fleet, MAX_PROPAGATION_S);
        ConfigAgent<Integer> agent = fleet.agent(startedIndex);
        int violations = agent.isComplete() && agent.isProvisional() ? 0 : 1;
        violations += violations(fleet, 2 * MAX_PROPAGATION_S);
        fleet.store().setDown(false);
        runSeconds(fleet, 90);
        return violations + (agent.isProvisional() ? 1 : 0);
    }

    private int operatorsRace(long seed) {
        FakeFleet fleet = startFleet(seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 60; i++) {
            if (random.nextInt(4) == 0) {
                fleet.store().delete(FakeFleet.CONTRACT, "customer-1");
            } else {
                FleetContent.changeContract(fleet, 1);
            }
            fleet.clock().advance(random.nextLong(TimeUnit.MILLISECONDS.toNanos(30)));
        }
        changeAndTrack(fleet, 1);
        runSeconds(fleet, MAX_PROPAGATION_S);
        return violations(fleet, MAX_PROPAGATION_S);
    }

    private static List<Integer> watchers(FakeFleet fleet) {
        List<Integer> watchers = new ArrayList<>();
        for (int i = 0; i < fleet.size(); i++) {
            if (fleet.agent(i).isWatching()) {
                watchers.add(i);
            }
        }
        return watchers;
    }

    private int zoneWatchersKilled(long seed) {
        FakeFleet fleet = startFleet(seed);
        int zone = new SplittableRandom(seed).nextInt(ZONES);
        watchers(fleet).stream().filter(i -> fleet.zone(i) == zone).forEach(fleet::stop);
        changeAndTrack(fleet, 1);
        runSeconds(fleet, MAX_PROPAGATION_S);
        return violations(fleet, MAX_PROPAGATION_S);
    }

    private int allWatchersKilled(long seed) {
        FakeFleet fleet = startFleet(seed);
        watchers(fleet).forEach(fleet::stop);
        changeAndTrack(fleet, 1);
        runSeconds(fleet, MAX_WATCHER_TAKEOVER_S);
        return violations(fleet, MAX_WATCHER_TAKEOVER_S);
    }

    private int zonesApart(long seed) {
        FakeFleet fleet = startFleet(seed);
        fleet.setLinkUp((a, b) -> fleet.zone(a) == fleet.zone(b));
        runSeconds(fleet, 30);
        changeAndTrack(fleet, 1);
        runSeconds(fleet, MAX_PROPAGATION_S);
        int late = lateCount(fleet, MAX_PROPAGATION_S);
        fleet.setLinkUp((a, b) -> true);
        changeAndTrack(fleet, 2);
        runSeconds(fleet, MAX_PROPAGATION_S);
        return late + violations(fleet, MAX_PROPAGATION_S);
    }

    private int storeRestored(long seed) {
        FakeFleet fleet = startFleet(seed);
        long backup = fleet.store().revision();
        changeAndTrack(fleet, 1);
        changeAndTrack(fleet, 2);
        runSeconds(fleet, MAX_PROPAGATION_S);
        fleet.store().restore(backup);
        fleet.store().closeWatches();
        runSeconds(fleet, MAX_PROPAGATION_S);
        boolean reported = false;
        for (int i = 0; i < AGENTS; i++) {
            reported |= fleet.agent(i).isStoreBehind();
        }
        return lateCount(fleet, MAX_PROPAGATION_S) + (int) fleet.reversions() + (reported ? 0 : 1);
    }
}
