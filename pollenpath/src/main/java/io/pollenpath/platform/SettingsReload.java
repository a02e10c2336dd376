package io.pollenpath.platform;

import io.pollenpath.transport.HangupSignal;
import io.pollenpath.util.LogLine;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the settings file again on SIGHUP and every few seconds, since it may change without. */
final class SettingsReload {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsReload.class);
    private static final long PERIOD_MS = 5_000;

    private final Path file;
    private final Consumer<PlatformSettings> changed;
    private PlatformSettings inForce;

    /**
     * Creates a reload.
     *
     * @param file the settings file
     * @param inForce the settings that are in force
     * @param changed takes settings that differ from those in force, on the control thread
     */
    SettingsReload(Path file, PlatformSettings inForce, Consumer<PlatformSettings> changed) {
        this.file = file;
        this.inForce = inForce;
        this.changed = changed;
    }

    void start(ScheduledExecutorService control) {
        HangupSignal.handle(() -> control.execute(() -> reload("hangup")));
        control.scheduleWithFixedDelay(
                () -> reload("timer"), PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void reload(String why) {
        try {
            PlatformSettings read = SettingsFile.read(file);
            boolean differs = !read.equals(inForce);
            if (differs || why.equals("hangup")) {
                LOG.info(
                        "{}",
                        LogLine.event("settings_reloaded")
                                .with("why", why)
                                .with("differs", differs));
            }
            if (differs) {
                inForce = read;
                changed.accept(read);
            }
        } catch (IllegalArgumentException e) {
            LOG.error("{}", LogLine.event("settings_kept").with("cause", e.getMessage()));
        }
    }
}
