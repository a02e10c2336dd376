package io.pollenpath.bench.measure;

import java.util.Map;
import java.util.TreeMap;

/** The registry of measurements by name. */
public final class Measurements {

    private static final Map<String, Measurement> ALL = new TreeMap<>();

    static {
        ALL.put("config", new ConfigMeasurement());
        ALL.put("control", new ControlPlaneMeasurement());
        ALL.put("experts", new ExpertsMeasurement());
        ALL.put("fairness", new FairnessMeasurement());
        ALL.put("limits", new LimitsMeasurement());
        ALL.put("overhead", new OverheadMeasurement());
        ALL.put("retries", new RetriesMeasurement());
        ALL.put("routing", new RoutingMeasurement());
    }

    private Measurements() {}

    /**
     * Finds a measurement.
     *
     * @param name the name, not null
     * @return the measurement
     * @throws IllegalArgumentException if there is none of that name; the message lists the known
     *     names
     */
    public static Measurement find(String name) {
        Measurement measurement = ALL.get(name);
        if (measurement == null) {
            throw new IllegalArgumentException(
                    "measurement '" + name + "' is unknown; use one of " + ALL.keySet());
        }
        return measurement;
    }
}
