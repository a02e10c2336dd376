package io.pollenpath.standin;

import com.beust.jcommander.Parameter;

/** Command-line settings of the stand-ins. Each stand-in ignores those that don't apply to it. */
public final class StandinSettings {

    @Parameter(names = "--name", description = "Name in logs and traces")
    String name = "";

    @Parameter(names = "--port", description = "Port to listen on, 0 for any free port")
    int port;

    @Parameter(
            names = "--lag-ms",
            description = "Delay before the VM list shows a change, in milliseconds")
    int lagMs = 30_000;

    @Parameter(names = "--step-us", description = "Duration of one engine step, in microseconds")
    int stepUs = 4_500;

    @Parameter(names = "--max-batch", description = "Maximum number of requests in one engine step")
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
