package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import java.io.IOException;

/** A measurement of the load balancer against baselines and targets. */
@FunctionalInterface
public interface Measurement {

    /**
     * Runs the measurement.
     *
     * @param options the options, of which the seed is used, not null
     * @param report receives the metrics and checks the targets, not null
     * @throws IOException if a process cannot be started or measured
     */
    void run(BenchOptions options, MeasurementReport report) throws IOException;
}
