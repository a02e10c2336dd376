package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.GroupShape;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Runs random schedules of leaders and engines of one group. Commands are lost, delayed and resent,
 * leaders pause and continue after a later one has taken over, engines crash, VMs freeze with their
 * leader and engine, and the group is idle for a while. No step may use two maps.
 */
class LeaderStateScheduleTest {

    private static final int RANKS = 4;
    private static final int NONE = -1;
    private static final int EVENTS = 700;
    private static final int UNFENCED_SEEDS = 20_000;
    private static final int FAULTLESS_EVENTS = 600;
    private static final GroupShape SHAPE = new GroupShape(1, 8, 3, 2, 0.85, 20);
    private static final ExpertMap FIRST =
            new ExpertMap(
                    List.of(List.of(List.of(0, 4), List.of(1, 5), List.of(2, 6), List.of(3, 7))));

    /** A command that the leader got no answer to and that the engine executes later. */
    private record DelayedCommand(AddressedCommand command, long epoch, long token) {}

    private static final class Leader implements LeaderListener {
        private final long token;
        private final int rank;
        private final LeaderState state;
        private boolean deposed;

        Leader(long token, int rank) {
            this.token = token;
            this.rank = rank;
            state = new LeaderState(token, rank, SHAPE, this);
        }

        @Override
        public void onCommitStarted(MapCommit commit, MapPlanner.Plan plan) {}

        @Override
        public void onCommitTakenOver(MapCommit commit) {}

        @Override
        public void onCommitEnded(MapCommit commit, boolean superseded) {}

        @Override
        public void onRecovered(long epoch) {}

        @Override
        public void onEpochChanged(long epoch, long before) {}
    }

    private static final class Simulation {
        private final Random random;
        private final SimulatedGroup group;
        private final List<Leader> leaders = new ArrayList<>();
        private final List<DelayedCommand> delayed = new ArrayList<>();
        private final boolean faulty;
        private boolean mixedMaps;
        private long nowNanos = 1;
        private long nextToken = 10;
        private int frozenRank = NONE;

        Simulation(long seed, boolean faulty, boolean fenced) {
            this(seed, faulty, new SimulatedGroup(RANKS, fenced, FIRST));
        }

        Simulation(long seed, boolean faulty, SimulatedGroup group) {
            random = new Random(seed);
            this.faulty = faulty;
            this.group = group;
        }

        /** Lets a leader change the map until a step is held, then arms some more ranks. */
        void runUntilHeld(Leader leader, int armedRanks) {
            leaders.add(leader);
            while (!isHeld()) {
                pollAll(leader);
                List<AddressedCommand> commands =
                        leader.state.canStartChange()
                                ? leader.state.startChange(randomPlan(), nowNanos)
                                : leader.state.nextCommands(nowNanos);
                commands.forEach(command -> deliver(leader, command));
            }
            for (int i = 0; i < armedRanks; i++) {
                List<AddressedCommand> commands = leader.state.nextCommands(nowNanos);
                commands.stream()
                        .filter(command -> command.command() instanceof EngineCommand.Arm)
                        .findFirst()
                        .ifPresent(command -> deliver(leader, command));
            }
        }

        /** Polls until the leader sends an arm command, and returns it unsent. */
        AddressedCommand nextArm(Leader leader) {
            while (true) {
                pollAll(leader);
                for (AddressedCommand command : leader.state.nextCommands(nowNanos)) {
                    if (command.command() instanceof EngineCommand.Arm) {
                        return command;
                    }
                    deliver(leader, command);
                }
            }
        }

        /** Lets the engines execute the next commands of a leader that does not hear of it. */
        void executeUnheard(Leader leader) {
            for (AddressedCommand command : leader.state.nextCommands(nowNanos)) {
                execute(command, leader.state.epoch(), leader.token);
            }
        }

        private boolean isHeld() {
            return IntStream.range(0, RANKS)
                    .anyMatch(rank -> group.status(rank).held().isPresent());
        }

        private void pollAll(Leader leader) {
            nowNanos += 1_000_000;
            for (int rank = 0; rank < RANKS; rank++) {
                if (rank != frozenRank) {
                    leader.state.onStatus(group.status(rank), nowNanos);
                }
            }
        }

        /** Runs the group with one leader that reaches all ranks but the frozen one. */
        void runReachable(Leader leader) {
            for (int i = 0; i < FAULTLESS_EVENTS; i++) {
                pollAll(leader);
                for (AddressedCommand command : leader.state.nextCommands(nowNanos)) {
                    if (command.rank() != frozenRank) {
                        deliver(leader, command);
                    }
                }
                mixedMaps |= !group.beginStep();
            }
        }

        void runEvent() {
            nowNanos += 1_000_000;
            int draw = random.nextInt(100);
            if (draw < 25) {
                mixedMaps |= !group.beginStep();
            } else if (draw < 26 || leaders.isEmpty()) {
                leaders.add(new Leader(nextToken++, random.nextInt(RANKS)));
            } else if (draw < 29 && faulty) {
                group.restartEngine(random.nextInt(RANKS));
            } else if (draw < 30 && faulty) {
                frozenRank = frozenRank == NONE ? anyLeader().rank : NONE;
            } else if (draw < 35 && !delayed.isEmpty()) {
                executeDelayed();
            } else if (draw < 60) {
                poll(anyLeader());
            } else {
                sendCommands(anyLeader());
            }
        }

        /** Runs the group without faults and with the newest leader only. */
        void runWithoutFaults() {
            frozenRank = NONE;
            Leader newest = leaders.get(leaders.size() - 1);
            for (int i = 0; i < FAULTLESS_EVENTS; i++) {
                nowNanos += 1_000_000;
                for (int rank = 0; rank < RANKS; rank++) {
                    newest.state.onStatus(group.status(rank), nowNanos);
                }
                for (AddressedCommand command : newest.state.nextCommands(nowNanos)) {
                    deliver(newest, command);
                }
                mixedMaps |= !group.beginStep();
            }
        }

        private Leader anyLeader() {
            int recent = Math.max(0, leaders.size() - 3);
            return leaders.get(recent + random.nextInt(leaders.size() - recent));
        }

        private void poll(Leader leader) {
            int rank = random.nextInt(RANKS);
            if (rank == frozenRank || leader.rank == frozenRank) {
                return;
            }
            RankStatus status = group.status(rank);
            leader.state.onStatus(status, nowNanos);
            leader.state.onExperts(rank, group.experts(rank));
        }

        /** Returns a random plan, because the leaders differ in their estimates of the demand. */
        private MapPlanner.Plan randomPlan() {
            List<List<Integer>> ranks = new ArrayList<>();
            for (int rank = 0; rank < RANKS; rank++) {
                ranks.add(List.of(rank, rank + RANKS, random.nextInt(SHAPE.experts())));
            }
            return new MapPlanner.Plan(new ExpertMap(List.of(ranks)), 2, 1, RANKS, 1);
        }

        private void sendCommands(Leader leader) {
            if (leader.deposed || leader.rank == frozenRank) {
                return;
            }
            List<AddressedCommand> commands =
                    leader.state.canStartChange() && random.nextInt(4) == 0
                            ? leader.state.startChange(randomPlan(), nowNanos)
                            : leader.state.nextCommands(nowNanos);
            for (AddressedCommand command : commands) {
                int draw = random.nextInt(100);
                if (command.rank() == frozenRank) {
                    delayed.add(new DelayedCommand(command, leader.state.epoch(), leader.token));
                    leader.state.onOutcome(command, CommandResult.UNKNOWN, nowNanos);
                } else if (draw < 50 || !faulty) {
                    deliver(leader, command);
                } else if (draw < 75) {
                    delayed.add(new DelayedCommand(command, leader.state.epoch(), leader.token));
                    leader.state.onOutcome(command, CommandResult.UNKNOWN, nowNanos);
                } else if (draw < 85) {
                    // The engine executes the command, and the answer is lost.
                    execute(command, leader.state.epoch(), leader.token);
                    leader.state.onOutcome(command, CommandResult.UNKNOWN, nowNanos);
                }
            }
        }

        private void deliver(Leader leader, AddressedCommand command) {
            CommandResult result = execute(command, leader.state.epoch(), leader.token);
            leader.state.onOutcome(command, result, nowNanos);
            leader.deposed |= result == CommandResult.FENCED;
            leader.state.onStatus(group.status(command.rank()), nowNanos);
        }

        private CommandResult execute(AddressedCommand command, long epoch, long token) {
            return group.execute(command.rank(), command.command(), epoch, token);
        }

        private void executeDelayed() {
            DelayedCommand command = delayed.get(random.nextInt(delayed.size()));
            if (command.command().rank() == frozenRank) {
                return;
            }
            delayed.remove(command);
            execute(command.command(), command.epoch(), command.token());
        }
    }

    @Property(tries = 2_000)
    void noStepMixesMaps(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, true, true);
        for (int i = 0; i < EVENTS; i++) {
            simulation.runEvent();
            assertWithMessage("seed " + seed + ", event " + i).that(simulation.mixedMaps).isFalse();
        }
    }

    /** Shows that the schedules can detect the fault: engines without fencing do mix maps. */
    @Test
    void someScheduleMixesMapsWithoutFences() {
        int seed = 0;
        boolean mixed = false;
        while (!mixed && seed < UNFENCED_SEEDS) {
            Simulation simulation = new Simulation(seed, true, false);
            for (int i = 0; i < EVENTS; i++) {
                simulation.runEvent();
            }
            mixed = simulation.mixedMaps;
            seed++;
        }
        assertWithMessage("a step with different maps among " + UNFENCED_SEEDS + " seeds")
                .that(mixed)
                .isTrue();
    }

    @Property(tries = 500)
    void heldStepsAreReleasedOnceFaultsEnd(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, true, true);
        for (int i = 0; i < EVENTS; i++) {
            simulation.runEvent();
        }
        simulation.delayed.clear();
        simulation.runWithoutFaults();
        assertWithMessage("seed " + seed).that(simulation.mixedMaps).isFalse();
        long step = simulation.group.step();
        simulation.runWithoutFaults();
        assertWithMessage("seed " + seed).that(simulation.group.step()).isGreaterThan(step);
    }

    /** A leader freezes with its VM while it has a step held and only some ranks are armed. */
    @Property(tries = 200)
    void aHeldStepIsReleasedWithoutTheFrozenLeader(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedGroup group = new SimulatedGroup(RANKS, true, FIRST);
        Simulation simulation = new Simulation(seed, false, group);
        int frozen = random.nextInt(RANKS);
        Leader old = new Leader(10, frozen);
        simulation.runUntilHeld(old, random.nextInt(RANKS - 1));
        checkThatNextLeaderGoesOn(simulation, old, seed);
    }

    /** A leader freezes with its VM right after it has told most ranks to arm. */
    @Property(tries = 50)
    void aHeldStepIsReleasedThoughTheFrozenLeaderHeardOfNoArm(@ForAll long seed) {
        SimulatedGroup group = new SimulatedGroup(RANKS, true, FIRST);
        Simulation simulation = new Simulation(seed, false, group);
        Leader old = new Leader(10, new Random(seed).nextInt(RANKS));
        simulation.runUntilHeld(old, 0);
        simulation.executeUnheard(old);
        checkThatNextLeaderGoesOn(simulation, old, seed);
    }

    private static void checkThatNextLeaderGoesOn(Simulation simulation, Leader old, long seed) {
        int frozen = old.rank;
        SimulatedGroup group = simulation.group;
        Random random = new Random(seed);
        Leader next = new Leader(11, (frozen + 1 + random.nextInt(RANKS - 1)) % RANKS);
        simulation.leaders.add(next);
        simulation.frozenRank = frozen;
        long step = group.step();
        simulation.runReachable(next);
        assertWithMessage("seed " + seed).that(simulation.mixedMaps).isFalse();
        assertWithMessage("seed " + seed).that(group.step()).isGreaterThan(step + 1);
        simulation.frozenRank = NONE;
        simulation.sendCommands(old);
        simulation.runWithoutFaults();
        assertWithMessage("seed " + seed).that(simulation.mixedMaps).isFalse();
    }

    /** The answer to an earlier command comes twice, so that a lost arm command seems accepted. */
    @Property(tries = 50)
    void noStepMixesMapsWhenTheAnswerToALostArmSeemsToBeAcceptance(@ForAll long seed) {
        SimulatedGroup group = new SimulatedGroup(RANKS, true, FIRST);
        Simulation simulation = new Simulation(seed, false, group);
        Leader leader = new Leader(10, new Random(seed).nextInt(RANKS));
        simulation.runUntilHeld(leader, 0);
        AddressedCommand lost = simulation.nextArm(leader);
        leader.state.onOutcome(lost, CommandResult.ACCEPTED, simulation.nowNanos);
        simulation.runWithoutFaults();
        assertWithMessage("seed " + seed).that(simulation.mixedMaps).isFalse();
        assertWithMessage("seed " + seed).that(group.mapSwitches()).isGreaterThan(0);
    }

    @Property(tries = 50)
    void mapsChangeWithoutFaults(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, false, true);
        for (int i = 0; i < 3 * EVENTS; i++) {
            simulation.runEvent();
        }
        assertWithMessage("seed " + seed).that(simulation.mixedMaps).isFalse();
        assertWithMessage("seed " + seed).that(simulation.group.mapSwitches()).isGreaterThan(0);
    }
}
