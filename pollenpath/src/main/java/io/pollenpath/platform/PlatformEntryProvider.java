package io.pollenpath.platform;

import io.pollenpath.cli.Role;
import java.nio.file.Path;

/** Provides the subcommand that runs an entry on the platform. */
public final class PlatformEntryProvider extends PlatformRoleProvider {

    private static final int EXIT_OUT_OF_MEMORY = 1;

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
        return new PlatformEntry(file, settings, PlatformEntryProvider::endProcess);
    }

    /** Ends the process as a signal does; the platform starts it again. */
    private static void endProcess() {
        new Thread(() -> System.exit(EXIT_OUT_OF_MEMORY), "out-of-memory").start();
    }
}
