package io.pollenpath.cli;

/**
 * Adds a long-running role to the command line. Adapters for deployments whose platform speaks its
 * own protocol register one for each role with {@link java.util.ServiceLoader}.
 */
public interface RoleProvider {

    /**
     * Returns the name of the subcommand.
     *
     * @return the name
     */
    String name();

    /**
     * Says what the role does.
     *
     * @return one line
     */
    String summary();

    /**
     * Creates settings with their defaults.
     *
     * @return the settings, to be filled from flags and variables
     */
    BaseSettings newSettings();

    /**
     * Returns the name that the log lines of the process carry.
     *
     * @param settings the settings that {@link #newSettings} created, filled, not null
     * @return the name
     * @throws IllegalArgumentException if the settings name something that can't be read
     */
    String processName(BaseSettings settings);

    /**
     * Starts the role.
     *
     * @param settings the settings that {@link #newSettings} created, filled, not null
     * @return the running role
     * @throws IllegalArgumentException if the settings are not valid
     * @throws IllegalStateException if the role can't start
     */
    Role start(BaseSettings settings);
}
