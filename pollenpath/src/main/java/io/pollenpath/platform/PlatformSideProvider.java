package io.pollenpath.platform;

import io.pollenpath.cli.BaseSettings;
import io.pollenpath.cli.Role;
import io.pollenpath.cli.RoleProvider;

/** Adds the agent that runs beside an engine of the platform to the command line. */
public final class PlatformSideProvider implements RoleProvider {

    @Override
    public String name() {
        return "platform-side";
    }

    @Override
    public String summary() {
        return "Run beside an engine of the platform and keep its rank group's expert map";
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
        return new PlatformSide(PlatformFlags.fileOf(settings), PlatformFlags.read(settings));
    }
}
