package io.pollenpath.platform;

import io.pollenpath.transport.HangupSignal;
import io.pollenpath.transport.RepeatedTask;
import io.pollenpath.util.LogLine;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the settings file on SIGHUP and every few seconds, because the file may change without a
 * signal.
 */
final class SettingsReload {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsReload.class);
    private static final long RELOAD_INTERVAL_MS = 5_000;

    private final Path file;
    private final Consumer<PlatformSettings> onChange;
    private PlatformSettings effective;

    /**
     * Creates a reload; it reads nothing before {@link #start}.
     *
     * @param file the settings file
     * @param effective the settings that are in effect now
     * @param onChange receives settings that differ from the effective ones, on the control thread
     */
    SettingsReload(Path file, PlatformSettings effective, Consumer<PlatformSettings> onChange) {
        this.file = file;
        this.effective = effective;
        this.onChange = onChange;
    }

    /** Handles the signal and starts the timer; both reload the file on the control thread. */
    void start(ScheduledExecutorService control) {
        HangupSignal.handle(() -> control.execute(() -> reload("hangup")));
        RepeatedTask.start(
                control, RELOAD_INTERVAL_MS, () -> reload("timer"), SettingsReload::logKept);
    }

    private void reload(String why) {
        try {
            PlatformSettings loaded = SettingsFile.read(file);
            boolean differs = !loaded.equals(effective);
            if (differs || why.equals("hangup")) {
                LOG.info(
                        "{}",
                        LogLine.event("settings_reloaded")
                                .with("why", why)
                                .with("differs", differs));
            }
            if (differs) {
                effective = loaded;
                onChange.accept(loaded);
            }
        } catch (IllegalArgumentException e) {
            logKept(e);
        }
    }

    private static void logKept(Throwable cause) {
        LOG.error("{}", LogLine.event("settings_kept").with("cause", cause.getMessage()));
    }
}
