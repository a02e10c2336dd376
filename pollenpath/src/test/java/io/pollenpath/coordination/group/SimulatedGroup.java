package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Plays the engines of a rank group as the platform's pages describe them; safe for threads. */
public final class SimulatedGroup {

    /** The name of the group. */
    public static final String NAME = "group";

    private final List<Engine> engines = new ArrayList<>();
    private final String name;
    private final boolean fenced;
    private final ExpertMap firstMap;
    private long epoch = 1;
    private long step;
    private int mapSwitches;

    private static final class Engine {
        private long fence;
        private long highestVersion;
        private long mapVersion;
        private OptionalLong prepared = OptionalLong.empty();
        private Optional<ArmedMap> armed = Optional.empty();
        private OptionalLong held = OptionalLong.empty();
        private final Map<Long, ExpertMap> maps = new HashMap<>();
    }

    /** Forms a group whose ranks hold the first map. */
    public SimulatedGroup(int ranks, boolean fenced, ExpertMap firstMap) {
        this(NAME, ranks, fenced, firstMap);
    }

    /** Forms a group with a name of its own. */
    public SimulatedGroup(String name, int ranks, boolean fenced, ExpertMap firstMap) {
        this.name = name;
        this.fenced = fenced;
        this.firstMap = firstMap;
        for (int rank = 0; rank < ranks; rank++) {
            engines.add(new Engine());
        }
    }

    /** Returns the last pass that was begun. */
    public synchronized long step() {
        return step;
    }

    /** Counts the ranks that have switched to another map. */
    public synchronized int mapSwitches() {
        return mapSwitches;
    }

    /** Returns what a rank reports. */
    public synchronized RankStatus status(int rank) {
        Engine engine = engines.get(rank);
        return new RankStatus(
                name,
                epoch,
                rank,
                engines.size(),
                true,
                step,
                engine.mapVersion,
                engine.prepared,
                engine.armed,
                engine.held,
                false);
    }

    /** Returns the experts that a rank holds. */
    public synchronized List<List<Integer>> experts(int rank) {
        Engine engine = engines.get(rank);
        ExpertMap map = engine.maps.getOrDefault(engine.mapVersion, firstMap);
        List<List<Integer>> held = new ArrayList<>();
        map.layers().forEach(layer -> held.add(layer.get(rank)));
        return held;
    }

    /** Begins the next pass unless it is held; returns false if ranks use different maps in it. */
    public synchronized boolean beginStep() {
        long next = step + 1;
        for (Engine engine : engines) {
            if (engine.held.isPresent() && engine.held.getAsLong() == next) {
                return true;
            }
        }
        step = next;
        for (Engine engine : engines) {
            if (engine.armed.isPresent() && engine.armed.get().step() == next) {
                engine.mapVersion = engine.armed.get().version();
                engine.armed = Optional.empty();
                engine.prepared = OptionalLong.empty();
                mapSwitches++;
            }
        }
        return sameMaps();
    }

    private boolean sameMaps() {
        Engine first = engines.get(0);
        ExpertMap map = first.maps.getOrDefault(first.mapVersion, firstMap);
        for (Engine engine : engines) {
            ExpertMap other = engine.maps.getOrDefault(engine.mapVersion, firstMap);
            if (engine.mapVersion != first.mapVersion || !other.equals(map)) {
                return false;
            }
        }
        return true;
    }

    /** Loses a rank and forms the group anew. */
    public synchronized void crash(int rank) {
        epoch++;
        for (Engine engine : engines) {
            engine.mapVersion = 0;
            engine.prepared = OptionalLong.empty();
            engine.armed = Optional.empty();
            engine.held = OptionalLong.empty();
        }
        engines.get(rank).fence = 0;
        engines.get(rank).highestVersion = 0;
    }

    /** Carries out an order at a rank. */
    public synchronized CommandResult execute(
            int rank, EngineCommand order, long orderEpoch, long token) {
        Engine engine = engines.get(rank);
        if (orderEpoch != epoch) {
            return CommandResult.REJECTED;
        }
        if (fenced && token < engine.fence) {
            return CommandResult.FENCED;
        }
        CommandResult outcome = change(engine, order);
        if (outcome == CommandResult.ACCEPTED) {
            engine.fence = Math.max(engine.fence, token);
        }
        return outcome;
    }

    private CommandResult change(Engine engine, EngineCommand order) {
        if (order instanceof EngineCommand.Prepare prepare) {
            if (engine.armed.isPresent() || prepare.version() <= engine.highestVersion) {
                return CommandResult.REJECTED;
            }
            engine.highestVersion = prepare.version();
            engine.prepared = OptionalLong.of(prepare.version());
            engine.maps.put(prepare.version(), prepare.map());
        } else if (order instanceof EngineCommand.Hold hold) {
            if (engine.held.isPresent() && engine.held.getAsLong() == hold.step()) {
                return CommandResult.ACCEPTED;
            }
            if (engine.held.isPresent() || hold.step() <= step) {
                return CommandResult.REJECTED;
            }
            engine.held = OptionalLong.of(hold.step());
        } else if (order instanceof EngineCommand.Arm arm) {
            return arm(engine, arm);
        } else if (order instanceof EngineCommand.Release release) {
            if (engine.held.isPresent() && engine.held.getAsLong() == release.step()) {
                engine.held = OptionalLong.empty();
            }
        } else if (order instanceof EngineCommand.Disarm disarm) {
            if (engine.mapVersion == disarm.version()) {
                return CommandResult.REJECTED;
            }
            boolean same =
                    engine.armed.isPresent() && engine.armed.get().version() == disarm.version();
            engine.armed = same ? Optional.empty() : engine.armed;
        }
        return CommandResult.ACCEPTED;
    }

    private CommandResult arm(Engine engine, EngineCommand.Arm arm) {
        ArmedMap wanted = new ArmedMap(arm.version(), arm.step());
        if (engine.armed.equals(Optional.of(wanted))) {
            return CommandResult.ACCEPTED;
        }
        boolean ready = engine.prepared.isPresent() && engine.prepared.getAsLong() == arm.version();
        if (!ready || arm.step() <= step) {
            return CommandResult.REJECTED;
        }
        engine.armed = Optional.of(wanted);
        return CommandResult.ACCEPTED;
    }
}
