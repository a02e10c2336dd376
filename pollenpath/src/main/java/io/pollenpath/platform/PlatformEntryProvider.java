package io.pollenpath.platform;

import io.pollenpath.cli.Role;
import java.nio.file.Path;

/** Provides the subcommand that runs an entry on the platform. */
public final class PlatformEntryProvider extends PlatformRoleProvider {

    @Override
    public String name() {
        return "platform-entry";
    }

    @Override
    public String summary() {
        return "Serve callers on the platform";
    }

    @Override
    Role start(Path file, PlatformSettings settings) {
        return new PlatformEntry(file, settings);
    }
}
