package io.pollenpath.standin;

import com.beust.jcommander.Parameter;

/** Command-line settings of the stand-ins. Each stand-in ignores those that don't apply to it. */
public final class StandinSettings {

    @Parameter(names = "--name", description = "Name in logs")
    String name = "";

    @Parameter(names = "--port", description = "Port to listen on, 0 for any")
    int port;

    @Parameter(names = "--lag-ms", description = "Lag of the VM list, in milliseconds")
    int lagMs = 30_000;

    @Parameter(names = "--step-us", description = "Time of one engine step, in microseconds")
    int stepUs = 4_500;

    @Parameter(names = "--max-batch", description = "Most requests in one engine step")
    int maxBatch = 32;

    /**
     * Creates settings for an engine that runs inside a test process.
     *
     * @param name the service name in traces
     * @param stepUs the duration of one engine step, in microseconds
     * @param maxBatch the maximum number of requests in one engine step
     * @return the settings, with port 0 for any free port
     */
    public static StandinSettings of(String name, int stepUs, int maxBatch) {
        StandinSettings settings = new StandinSettings();
        settings.name = name;
        settings.stepUs = stepUs;
        settings.maxBatch = maxBatch;
        return settings;
    }
}
