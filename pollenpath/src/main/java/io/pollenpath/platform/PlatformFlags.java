package io.pollenpath.platform;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.pollenpath.cli.BaseSettings;
import io.pollenpath.util.ValidationErrors;
import java.nio.file.Files;
import java.nio.file.Path;

/** Flags of the roles that run on the platform; all else stands in the settings file. */
@Parameters(commandDescription = "Run on the platform")
final class PlatformFlags extends BaseSettings {

    @Parameter(
            names = "--boot",
            description = "Settings file that the platform writes, in YAML",
            required = true)
    String settingsFile = "";

    private PlatformSettings settings;

    /** Returns the settings file. */
    Path file() {
        return Path.of(settingsFile);
    }

    /** Returns what the settings file said when the flags were checked. */
    PlatformSettings settings() {
        return settings;
    }

    @Override
    protected void check(ValidationErrors faults) {
        if (settingsFile.isEmpty()) {
            return;
        }
        if (!Files.isReadable(file())) {
            faults.add("--boot '" + settingsFile + "' can't be read; name the settings file");
            return;
        }
        try {
            settings = SettingsFile.read(file());
        } catch (IllegalArgumentException e) {
            faults.add("--boot: " + e.getMessage());
        }
    }
}
