package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.GroupShape;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/** Simulates the engines of a rank group as the platform specifies them; thread-safe. */
public final class SimulatedGroup {

    /** The default name of a group. */
    public static final String NAME = "group";

    private final List<Engine> engines = new ArrayList<>();
    private final String name;
    private final boolean fenced;
    private final ExpertMap firstMap;
    private long epoch = 1;
    private long step;
    private int mapSwitches;
    private LongSupplier nanoClock = () -> 0;
    private long fetchNanos;
    private int fetches;

    private static final class Engine {
        private double slowdown = 1;
        private long fetchedNanos;
        private long fence;
        private long highestVersion;
        private long mapVersion;
        private OptionalLong prepared = OptionalLong.empty();
        private Optional<ArmedMap> armed = Optional.empty();
        private OptionalLong held = OptionalLong.empty();
        private final Map<Long, ExpertMap> maps = new HashMap<>();
    }

    /** Creates a group with the default name. */
    public SimulatedGroup(int ranks, boolean fenced, ExpertMap firstMap) {
        this(NAME, ranks, fenced, firstMap);
    }

    /**
     * Creates a group.
     *
     * @param name the name of the group
     * @param ranks the number of ranks
     * @param fenced whether the engines refuse commands with an old fencing token
     * @param firstMap the map of a new epoch
     */
    public SimulatedGroup(String name, int ranks, boolean fenced, ExpertMap firstMap) {
        this.name = name;
        this.fenced = fenced;
        this.firstMap = firstMap;
        for (int rank = 0; rank < ranks; rank++) {
            engines.add(new Engine());
        }
    }

    /**
     * Returns the map that assigns the experts to the ranks in turn.
     *
     * @param ranks the number of ranks
     * @param shape the shape of the group
     * @return the map of a new epoch
     */
    public static ExpertMap firstMap(int ranks, GroupShape shape) {
        List<List<Integer>> byRank = new ArrayList<>();
        for (int rank = 0; rank < ranks; rank++) {
            List<Integer> experts = new ArrayList<>();
            for (int expert = rank; expert < shape.experts(); expert += ranks) {
                experts.add(expert);
            }
            byRank.add(experts);
        }
        return new ExpertMap(Collections.nCopies(shape.layers(), byRank));
    }

    /**
     * Makes each rank fetch the experts that are new to it one after the other, instead of at once.
     *
     * @param clock returns the present time, in nanoseconds
     * @param expertNanos the time in which a rank fetches one expert, in nanoseconds
     */
    public synchronized void setFetchTime(LongSupplier clock, long expertNanos) {
        nanoClock = clock;
        fetchNanos = expertNanos;
    }

    /** Makes the engine of a rank take a number of times as long for its work as usual. */
    public synchronized void setSlowdown(int rank, double slowdown) {
        engines.get(rank).slowdown = slowdown;
    }

    /** Returns how many times longer the engine of a rank takes for its work than usual. */
    public synchronized double slowdown(int rank) {
        return engines.get(rank).slowdown;
    }

    /** Returns how many experts all ranks have fetched or begun to fetch. */
    public synchronized int fetches() {
        return fetches;
    }

    /** Returns whether some rank is fetching experts. */
    public synchronized boolean isFetching() {
        return engines.stream().anyMatch(this::isFetching);
    }

    private boolean isFetching(Engine engine) {
        return engine.fetchedNanos - nanoClock.getAsLong() > 0;
    }

    /** Returns the last step that was begun. */
    public synchronized long step() {
        return step;
    }

    /** Returns how often a rank has switched to another map. */
    public synchronized int mapSwitches() {
        return mapSwitches;
    }

    /** Returns the status that a rank reports. */
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
                isFetching(engine) ? OptionalLong.empty() : engine.prepared,
                engine.armed,
                engine.held,
                isFetching(engine),
                engine.slowdown);
    }

    /** Returns the experts that a rank hosts, one list for each set of layers. */
    public synchronized List<List<Integer>> experts(int rank) {
        Engine engine = engines.get(rank);
        ExpertMap map = engine.maps.getOrDefault(engine.mapVersion, firstMap);
        List<List<Integer>> hosted = new ArrayList<>();
        map.layers().forEach(layer -> hosted.add(layer.get(rank)));
        return hosted;
    }

    /** Begins the next step unless it is held; returns false if ranks use different maps in it. */
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
        return ranksUseSameMap();
    }

    private boolean ranksUseSameMap() {
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

    /** Restarts the engine of a rank and forms the group again under a new epoch. */
    public synchronized void restartEngine(int rank) {
        epoch++;
        for (Engine engine : engines) {
            engine.mapVersion = 0;
            engine.prepared = OptionalLong.empty();
            engine.armed = Optional.empty();
            engine.held = OptionalLong.empty();
            engine.fetchedNanos = nanoClock.getAsLong();
        }
        engines.get(rank).fence = 0;
        engines.get(rank).highestVersion = 0;
    }

    /** Executes a command at a rank and returns its result. */
    public synchronized CommandResult execute(
            int rank, EngineCommand command, long commandEpoch, long token) {
        Engine engine = engines.get(rank);
        if (commandEpoch != epoch) {
            return CommandResult.REJECTED;
        }
        if (fenced && token < engine.fence) {
            return CommandResult.FENCED;
        }
        CommandResult result = applyCommand(rank, command);
        if (result == CommandResult.ACCEPTED) {
            engine.fence = Math.max(engine.fence, token);
        }
        return result;
    }

    private CommandResult applyCommand(int rank, EngineCommand command) {
        Engine engine = engines.get(rank);
        if (command instanceof EngineCommand.Prepare prepare) {
            if (engine.armed.isPresent() || prepare.version() <= engine.highestVersion) {
                return CommandResult.REJECTED;
            }
            engine.highestVersion = prepare.version();
            engine.prepared = OptionalLong.of(prepare.version());
            engine.maps.put(prepare.version(), prepare.map());
            int fetched = newExperts(rank, prepare.map());
            fetches += fetched;
            engine.fetchedNanos = nanoClock.getAsLong() + fetchNanos * fetched;
        } else if (command instanceof EngineCommand.Hold hold) {
            if (engine.held.isPresent() && engine.held.getAsLong() == hold.step()) {
                return CommandResult.ACCEPTED;
            }
            if (engine.held.isPresent() || hold.step() <= step) {
                return CommandResult.REJECTED;
            }
            engine.held = OptionalLong.of(hold.step());
        } else if (command instanceof EngineCommand.Arm arm) {
            return arm(engine, arm);
        } else if (command instanceof EngineCommand.Release release) {
            if (engine.held.isPresent() && engine.held.getAsLong() == release.step()) {
                engine.held = OptionalLong.empty();
            }
        } else if (command instanceof EngineCommand.Disarm disarm) {
            if (engine.mapVersion == disarm.version()) {
                return CommandResult.REJECTED;
            }
            boolean armedForVersion =
                    engine.armed.isPresent() && engine.armed.get().version() == disarm.version();
            engine.armed = armedForVersion ? Optional.empty() : engine.armed;
        }
        return CommandResult.ACCEPTED;
    }

    private int newExperts(int rank, ExpertMap map) {
        List<List<Integer>> hosted = experts(rank);
        int count = 0;
        for (int layer = 0; layer < hosted.size(); layer++) {
            for (int expert : map.layers().get(layer).get(rank)) {
                count += hosted.get(layer).contains(expert) ? 0 : 1;
            }
        }
        return count;
    }

    private CommandResult arm(Engine engine, EngineCommand.Arm arm) {
        ArmedMap armedMap = new ArmedMap(arm.version(), arm.step());
        if (engine.armed.equals(Optional.of(armedMap))) {
            return CommandResult.ACCEPTED;
        }
        boolean ready =
                !isFetching(engine)
                        && engine.prepared.isPresent()
                        && engine.prepared.getAsLong() == arm.version();
        if (!ready || arm.step() <= step) {
            return CommandResult.REJECTED;
        }
        engine.armed = Optional.of(armedMap);
        return CommandResult.ACCEPTED;
    }
}
