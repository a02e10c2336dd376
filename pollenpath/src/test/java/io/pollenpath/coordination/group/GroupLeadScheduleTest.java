package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.GroupShape;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Plays leaders of one group over lost, late and repeated orders, leaders that freeze and wake
 * while others lead, engines that crash, and an idle group; no pass may mix two maps.
 */
class GroupLeadScheduleTest {

    private static final int RANKS = 4;
    private static final int EVENTS = 700;
    private static final int MUTANT_SEEDS = 20_000;
    private static final int QUIET_EVENTS = 600;
    private static final GroupShape SHAPE = new GroupShape(1, 8, 3, 2, 0.85);
    private static final ExpertMap FIRST =
            new ExpertMap(
                    List.of(List.of(List.of(0, 4), List.of(1, 5), List.of(2, 6), List.of(3, 7))));

    /** An order that went unanswered and is carried out later. */
    private record LateOrder(AddressedCommand order, long epoch, long token) {}

    private static final class Leader implements LeaderListener {
        private final long token;
        private final LeaderState lead;
        private boolean deposed;

        Leader(long token, int rank) {
            this.token = token;
            lead = new LeaderState(token, rank, SHAPE, this);
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

    private static final class World {
        private final Random random;
        private final SimulatedGroup group;
        private final List<Leader> leaders = new ArrayList<>();
        private final List<LateOrder> late = new ArrayList<>();
        private final boolean troubled;
        private boolean mixed;
        private long nowNanos = 1;
        private long nextToken = 10;

        World(long seed, boolean troubled, boolean fenced) {
            random = new Random(seed);
            this.troubled = troubled;
            group = new SimulatedGroup(RANKS, fenced, FIRST);
        }

        void event() {
            nowNanos += 1_000_000;
            int draw = random.nextInt(100);
            if (draw < 25) {
                mixed |= !group.beginStep();
            } else if (draw < 26 || leaders.isEmpty()) {
                leaders.add(new Leader(nextToken++, random.nextInt(RANKS)));
            } else if (draw < 29 && troubled) {
                group.crash(random.nextInt(RANKS));
            } else if (draw < 35 && !late.isEmpty()) {
                carryOutLate();
            } else if (draw < 60) {
                poll(anyLeader());
            } else {
                order(anyLeader());
            }
        }

        /** Lets only the newest leader act, without any fault, over a group that is at work. */
        void settle() {
            Leader newest = leaders.get(leaders.size() - 1);
            for (int i = 0; i < QUIET_EVENTS; i++) {
                nowNanos += 1_000_000;
                for (int rank = 0; rank < RANKS; rank++) {
                    newest.lead.onStatus(group.status(rank), nowNanos);
                }
                for (AddressedCommand order : newest.lead.nextCommands(nowNanos)) {
                    deliver(newest, order);
                }
                mixed |= !group.beginStep();
            }
        }

        private Leader anyLeader() {
            int recent = Math.max(0, leaders.size() - 3);
            return leaders.get(recent + random.nextInt(leaders.size() - recent));
        }

        private void poll(Leader leader) {
            int rank = random.nextInt(RANKS);
            RankStatus status = group.status(rank);
            leader.lead.onStatus(status, nowNanos);
            leader.lead.onExperts(rank, group.experts(rank));
        }

        /** Returns a map that differs between leaders, as their estimates of the demand do. */
        private MapPlanner.Plan randomPlan() {
            List<List<Integer>> ranks = new ArrayList<>();
            for (int rank = 0; rank < RANKS; rank++) {
                ranks.add(List.of(rank, rank + RANKS, random.nextInt(SHAPE.experts())));
            }
            return new MapPlanner.Plan(new ExpertMap(List.of(ranks)), 2, 1, RANKS);
        }

        private void order(Leader leader) {
            if (leader.deposed) {
                return;
            }
            List<AddressedCommand> orders =
                    leader.lead.canStart() && random.nextInt(4) == 0
                            ? leader.lead.start(randomPlan(), nowNanos)
                            : leader.lead.nextCommands(nowNanos);
            for (AddressedCommand order : orders) {
                int draw = random.nextInt(100);
                if (draw < 50 || !troubled) {
                    deliver(leader, order);
                } else if (draw < 75) {
                    late.add(new LateOrder(order, leader.lead.epoch(), leader.token));
                    leader.lead.onOutcome(order, CommandResult.UNKNOWN, nowNanos);
                } else if (draw < 85) {
                    // Carried out, and the answer is lost.
                    carryOut(order, leader.lead.epoch(), leader.token);
                    leader.lead.onOutcome(order, CommandResult.UNKNOWN, nowNanos);
                }
            }
        }

        private void deliver(Leader leader, AddressedCommand order) {
            CommandResult outcome = carryOut(order, leader.lead.epoch(), leader.token);
            leader.lead.onOutcome(order, outcome, nowNanos);
            leader.deposed |= outcome == CommandResult.FENCED;
            leader.lead.onStatus(group.status(order.rank()), nowNanos);
        }

        private CommandResult carryOut(AddressedCommand order, long epoch, long token) {
            return group.execute(order.rank(), order.command(), epoch, token);
        }

        private void carryOutLate() {
            LateOrder order = late.remove(random.nextInt(late.size()));
            carryOut(order.order(), order.epoch(), order.token());
        }
    }

    @Property(tries = 2_000)
    void noPassMixesMaps(@ForAll long seed) {
        World world = new World(seed, true, true);
        for (int i = 0; i < EVENTS; i++) {
            world.event();
            assertWithMessage("seed " + seed + ", event " + i).that(world.mixed).isFalse();
        }
    }

    /** Shows that the schedules are hard enough: engines that ignore fences do mix maps. */
    @Test
    void someScheduleMixesMapsWithoutFences() {
        int seed = 0;
        boolean mixed = false;
        while (!mixed && seed < MUTANT_SEEDS) {
            World world = new World(seed, true, false);
            for (int i = 0; i < EVENTS; i++) {
                world.event();
            }
            mixed = world.mixed;
            seed++;
        }
        assertWithMessage("a mixed pass among " + MUTANT_SEEDS + " seeds").that(mixed).isTrue();
    }

    @Property(tries = 500)
    void noHoldOutlivesTheTrouble(@ForAll long seed) {
        World world = new World(seed, true, true);
        for (int i = 0; i < EVENTS; i++) {
            world.event();
        }
        world.late.clear();
        world.settle();
        assertWithMessage("seed " + seed).that(world.mixed).isFalse();
        long step = world.group.step();
        world.settle();
        assertWithMessage("seed " + seed).that(world.group.step()).isGreaterThan(step);
    }

    @Property(tries = 50)
    void mapsDoChange(@ForAll long seed) {
        World world = new World(seed, false, true);
        for (int i = 0; i < 3 * EVENTS; i++) {
            world.event();
        }
        assertWithMessage("seed " + seed).that(world.mixed).isFalse();
        assertWithMessage("seed " + seed).that(world.group.mapSwitches()).isGreaterThan(0);
    }
}
