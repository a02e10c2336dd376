package io.pollenpath.platform;

import io.pollenpath.cli.BaseSettings;
import io.pollenpath.cli.Role;
import io.pollenpath.cli.RoleProvider;
import java.nio.file.Path;

/** Provides a role that is configured by the settings file that the platform writes. */
abstract class PlatformRoleProvider implements RoleProvider {

    /**
     * Starts the role.
     *
     * @param file the settings file, which the role reads again later
     * @param settings the present settings in that file
     */
    abstract Role start(Path file, PlatformSettings settings);

    @Override
    public final BaseSettings newSettings() {
        return new PlatformFlags();
    }

    @Override
    public final String processName(BaseSettings settings) {
        return ((PlatformFlags) settings).settings().node();
    }

    @Override
    public final Role start(BaseSettings settings) {
        PlatformFlags flags = (PlatformFlags) settings;
        return start(flags.file(), flags.settings());
    }
}
