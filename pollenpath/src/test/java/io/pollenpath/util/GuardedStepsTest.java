package io.pollenpath.util;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class GuardedStepsTest {

    private final List<String> done = new ArrayList<>();
    private final List<Throwable> failures = new ArrayList<>();

    /** Guards against steps that are left out behind one that fails. */
    @Test
    void runsTheStepsBehindOneThatFails() {
        Error error = new Error("second");
        GuardedSteps.runAll(
                failures::add,
                () -> done.add("first"),
                () -> {
                    throw error;
                },
                () -> done.add("third"));
        assertThat(done).containsExactly("first", "third").inOrder();
        assertThat(failures).containsExactly(error);
    }

    /** Guards against items without their turn, also if a step changes the collection. */
    @Test
    void takesAStepForEachItem() {
        List<Integer> items = new ArrayList<>(List.of(1, 0, 2));
        GuardedSteps.forEach(
                items,
                item -> {
                    items.remove(item);
                    done.add("" + 2 / item);
                },
                failures::add);
        assertThat(done).containsExactly("2", "1").inOrder();
        assertThat(failures).hasSize(1);
        assertThat(items).isEmpty();
    }
}
