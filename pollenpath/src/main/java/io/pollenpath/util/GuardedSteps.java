package io.pollenpath.util;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/** Runs steps of which each has its turn, also behind one that failed. */
public final class GuardedSteps {

    private GuardedSteps() {}

    /**
     * Runs a step.
     *
     * @param step the step, not null
     * @param onFailure hears what the step threw, not null
     */
    public static void run(Runnable step, Consumer<Throwable> onFailure) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            onFailure.accept(e);
        }
    }

    /**
     * Runs steps one after the other.
     *
     * @param onFailure hears what each failed step threw, not null
     * @param steps the steps, not null
     */
    public static void runAll(Consumer<Throwable> onFailure, Runnable... steps) {
        for (Runnable step : steps) {
            run(step, onFailure);
        }
    }

    /**
     * Runs a step for each item. The items are copied first, so that a step may change them.
     *
     * @param items the items, not null
     * @param step the step, not null
     * @param onFailure hears what each failed step threw, not null
     * @param <T> the type of an item
     */
    public static <T> void forEach(
            Collection<T> items, Consumer<? super T> step, Consumer<Throwable> onFailure) {
        List.copyOf(items).forEach(item -> run(() -> step.accept(item), onFailure));
    }
}
