package io.pollenpath.cli;

import com.beust.jcommander.Parameter;
import io.pollenpath.coordination.ConfigAgentOptions;
import io.pollenpath.protocol.Declarations;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.util.ValidationErrors;
import java.util.ArrayList;
import java.util.List;

/** Settings that entry and side processes share. */
class CommonSettings extends BaseSettings {

    @Check(form = Form.NAME)
    @Parameter(names = "--name", description = "Unique name of this process", required = true)
    String name = "";

    @Check(form = Form.NAME)
    @Parameter(names = "--zone", description = "Availability zone of this VM")
    String zone = "";

    @Check(form = Form.IP)
    @Parameter(names = "--listen-host", description = "IP number to listen on")
    String listenHost = "127.0.0.1";

    @Check(form = Form.ADDRESS)
    @Parameter(names = "--object-api", description = "Object API, as IP:port", required = true)
    String objectApi = "";

    @Check(min = 10, max = 60_000)
    @Parameter(names = "--object-api-timeout-ms", description = "Longest call, in milliseconds")
    int objectApiTimeoutMs = 2_000;

    @Check(max = 65_535)
    @Parameter(names = "--admin-port", description = "Port of health and metrics, 0 for any")
    int adminPort;

    @Check(min = 1, max = 64)
    @Parameter(names = "--traffic-threads", description = "Number of event loops")
    int trafficThreads = 2;

    @Check(max = 3_600_000)
    @Parameter(names = "--grace-ms", description = "Longest graceful shutdown, in milliseconds")
    int graceMs = 30_000;

    @Check(form = Form.URL)
    @Parameter(names = "--otlp-endpoint", description = "URL of an OTLP collector; empty: log")
    String otlpEndpoint = "";

    @Check(form = Form.LOG_LEVEL)
    @Parameter(
            names = "--log-level",
            description = "Least severe level to log: error, warn, info, debug or trace")
    String logLevel = "info";

    @Check(form = Form.ADDRESS)
    @Parameter(
            names = "--peers",
            description = "Side processes to ask for configuration at the start, as IP:port")
    List<String> peers = new ArrayList<>();

    @Check(min = 1, max = Integer.MAX_VALUE)
    @Parameter(
            names = "--config-epoch",
            description = "Raise on all processes after the Object API was restored from a backup")
    long configEpoch = 1;

    @Check(min = 1, max = 64)
    @Parameter(names = "--watchers-per-zone", description = "Processes that watch the Object API")
    int watchersPerZone = ConfigAgentOptions.DEFAULT_WATCHERS_PER_ZONE;

    /** Adds a fault if a port is also the admin port. */
    void checkPorts(ValidationErrors faults, String flag, int port) {
        faults.addIf(
                port != 0 && port == adminPort,
                flag + " and --admin-port are both " + port + "; set different ports");
    }

    ConfigAgentOptions configOptions() {
        return new ConfigAgentOptions(
                name, zone, configEpoch, Declarations.WATCHED_KINDS, watchersPerZone);
    }

    List<HttpAddress> seedAddresses() {
        return peers.stream().map(HttpAddress::parse).toList();
    }
}
