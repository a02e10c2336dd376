package io.pollenpath.bench.prove;

/**
 * A test case that checks a guarantee of the system while one kind of fault is injected.
 *
 * @param guarantee the short name of the guarantee, such as {@code at-most-once}, not null
 * @param fault the short name of the fault, such as {@code executor-killed}, not null
 * @param realProcesses whether a trial starts processes; the number of trials of such a case is
 *     limited
 * @param trial runs one trial, not null
 */
public record FaultCase(String guarantee, String fault, boolean realProcesses, Trial trial) {

    /** Runs a single trial of a case. */
    @FunctionalInterface
    public interface Trial {

        /**
         * Runs the trial once.
         *
         * @param seed the seed of every random choice of the trial
         * @return the number of violations of the guarantee
         * @throws Exception if the trial could not be carried out
         */
        int run(long seed) throws Exception;
    }
}
