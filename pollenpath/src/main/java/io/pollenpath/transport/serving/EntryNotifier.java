package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.SlowdownReport;
import io.pollenpath.state.serving.EntryInstance;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.util.LogLine;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells entries what the agent beside a server knows of it. */
public final class EntryNotifier {

    private static final Logger LOG = LoggerFactory.getLogger(EntryNotifier.class);
    private static final long CALL_TIMEOUT_MS = 400;
    private static final Map<String, String> HEADERS =
            Map.of("Content-Type", EntryServer.MEDIA_TYPE);

    private final HttpClient http;

    /**
     * Creates a notifier.
     *
     * @param http calls the entries, not null
     */
    public EntryNotifier(HttpClient http) {
        this.http = Objects.requireNonNull(http, "http");
    }

    /**
     * Sends a report to each entry, without retries: the agent repeats what is still true.
     *
     * @param entries the entries; one without an address is left out, not null
     * @param report the report, not null
     */
    public void tell(List<EntryInstance> entries, SlowdownReport report) {
        byte[] body = EntryMessages.encode(report);
        for (EntryInstance entry : entries) {
            if (!entry.address().isEmpty()) {
                send(entry, body);
            }
        }
    }

    private void send(EntryInstance entry, byte[] body) {
        HttpAddress address = HttpAddress.parse(entry.address());
        http.send(new HttpClient.Request(address, "POST", EntryServer.PATH, HEADERS, body))
                .orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure != null) {
                                LOG.info(
                                        "{}",
                                        LogLine.event("entry_not_told")
                                                .with("entry", entry.name())
                                                .with("cause", failure));
                            }
                        });
    }
}
