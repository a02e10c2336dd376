package io.pollenpath.platform;

import io.pollenpath.cli.Role;
import java.nio.file.Path;

/** Provides the subcommand that runs an agent beside an engine of the platform. */
public final class PlatformSideProvider extends PlatformRoleProvider {

    @Override
    public String name() {
        return "platform-side";
    }

    @Override
    public String summary() {
        return "Run beside an engine of the platform and keep its rank group's expert map";
    }

    @Override
    Role start(Path file, PlatformSettings settings) {
        return new PlatformSide(file, settings);
    }
}
