package io.pollenpath.standin;

import com.beust.jcommander.JCommander;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.LogLine;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one stand-in as a process: {@code object-api}, {@code vm-list}, {@code engine} or {@code
 * service}.
 */
public final class StandinMain {

    private static final Logger LOG = LoggerFactory.getLogger(StandinMain.class);
    private static final int EVENT_LOOPS = 2;

    private StandinMain() {}

    /**
     * Starts the stand-in that the first argument names and runs until the process is terminated.
     *
     * @param arguments the name of the stand-in, followed by flags of {@link StandinSettings}
     * @throws InterruptedException if the process is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        StandinSettings settings = new StandinSettings();
        String role = arguments[0];
        String[] flags = Arrays.copyOfRange(arguments, 1, arguments.length);
        JCommander.newBuilder().programName(role).addObject(settings).build().parse(flags);
        NettyLoops loops = new NettyLoops(EVENT_LOOPS);
        int port = start(role, settings, loops);
        LOG.info(
                "{}",
                LogLine.event("listening")
                        .with("role", role)
                        .with("name", settings.name)
                        .with("port", port));
        new CountDownLatch(1).await();
    }

    private static int start(String role, StandinSettings settings, NettyLoops loops) {
        return switch (role) {
            case "object-api" -> new ObjectApiStandin(loops, settings.port).port();
            case "vm-list" -> new VmListStandin(loops, settings.port, settings.lagMs).port();
            case "engine" -> new EngineStandin(loops, settings).port();
            case "service" -> new ServiceStandin(loops, settings).port();
            default ->
                    throw new IllegalArgumentException(
                            "stand-in '"
                                    + role
                                    + "' is unknown; use object-api, vm-list, engine"
                                    + " or service");
        };
    }
}
