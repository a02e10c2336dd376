package io.pollenpath.platform;

import io.pollenpath.cli.BaseSettings;
import io.pollenpath.cli.Role;
import io.pollenpath.cli.RoleProvider;

/** Adds the entry that runs on the platform to the command line. */
public final class PlatformEntryProvider implements RoleProvider {

    @Override
    public String name() {
        return "platform-entry";
    }

    @Override
    public String summary() {
        return "Serve callers on the platform";
    }

    @Override
    public BaseSettings newSettings() {
        return new PlatformFlags();
    }

    @Override
    public String processName(BaseSettings settings) {
        return PlatformFlags.read(settings).node();
    }

    @Override
    public Role start(BaseSettings settings) {
        return new PlatformEntry(PlatformFlags.fileOf(settings), PlatformFlags.read(settings));
    }
}
