package io.pollenpath.transport.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Passes each status that an engine reports to an observer as well. */
public final class ObservedEngine implements EngineControl {

    private final EngineControl engine;
    private final Consumer<RankStatus> observer;

    /**
     * Creates a client that observes another one.
     *
     * @param engine the client that is observed, not null
     * @param observer receives each status, on any thread, not null
     */
    public ObservedEngine(EngineControl engine, Consumer<RankStatus> observer) {
        this.engine = Objects.requireNonNull(engine, "engine");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    @Override
    public CompletableFuture<RankStatus> status() {
        return engine.status()
                .thenApply(
                        status -> {
                            observer.accept(status);
                            return status;
                        });
    }

    @Override
    public CompletableFuture<long[]> counts() {
        return engine.counts();
    }

    @Override
    public CompletableFuture<List<List<Integer>>> experts() {
        return engine.experts();
    }

    @Override
    public CompletableFuture<CommandResult> send(EngineCommand command, long epoch, long token) {
        return engine.send(command, epoch, token);
    }
}
