package io.pollenpath.bench;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Command-line options of the proofs and the measurements. */
public final class BenchOptions {

    @Parameter(names = "--seed", description = "Seed of the random number generators")
    long seed = 1;

    @Parameter(names = "--trials", description = "Number of trials of each proof case")
    int trials = 20;

    @Parameter(description = "Name of the measurement, or faults whose proof cases are run")
    List<String> names = new ArrayList<>();

    /**
     * Returns the seed of the random number generators.
     *
     * @return the seed, 1 by default
     */
    public long seed() {
        return seed;
    }

    /**
     * Returns how often each proof case is run.
     *
     * @return the number of trials, 20 by default
     */
    public int trials() {
        return trials;
    }
}
