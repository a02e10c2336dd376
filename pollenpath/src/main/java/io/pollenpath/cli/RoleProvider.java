package io.pollenpath.cli;

/**
 * Adds a long-running role to the command line. Adapters for platforms with a protocol of their own
 * register one provider for each role with {@link java.util.ServiceLoader}.
 */
public interface RoleProvider {

    /**
     * Returns the name of the subcommand.
     *
     * @return the name
     */
    String name();

    /**
     * Returns a summary of the role.
     *
     * @return one line
     */
    String summary();

    /**
     * Creates settings with their defaults.
     *
     * @return the settings, which are then set from flags and environment variables
     */
    BaseSettings newSettings();

    /**
     * Returns the name that the log lines of the process carry.
     *
     * @param settings the settings that {@link #newSettings} created, with all values set, not null
     * @return the name
     * @throws IllegalArgumentException if the settings refer to a file that can't be read
     */
    String processName(BaseSettings settings);

    /**
     * Starts the role.
     *
     * @param settings the settings that {@link #newSettings} created, with all values set, not null
     * @return the running role
     * @throws IllegalArgumentException if the settings are not valid
     * @throws IllegalStateException if the role can't start
     */
    Role start(BaseSettings settings);
}
