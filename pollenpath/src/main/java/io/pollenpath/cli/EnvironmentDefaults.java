package io.pollenpath.cli;

import com.beust.jcommander.IDefaultProvider;
import java.util.Locale;
import java.util.Map;

/** Supplies the value of its environment variable for each flag that is absent. */
final class EnvironmentDefaults implements IDefaultProvider {

    /** The prefix of every variable name. */
    static final String PREFIX = "POLLENPATH_";

    private final Map<String, String> environment;

    EnvironmentDefaults(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** Returns the variable of a flag: {@code --link-port} gives {@code POLLENPATH_LINK_PORT}. */
    static String variableOf(String flag) {
        String bare = flag.replaceFirst("^-+", "");
        return PREFIX + bare.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    @Override
    public String getDefaultValueFor(String flag) {
        return environment.get(variableOf(flag));
    }
}
