package io.pollenpath.cli.explain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {

    private static final String ENTRY_LOG =
            """
             0.5 entry-1 ts=2026-01-01T00:00:00.500Z level=INFO process=entry-1 thread=t event=config_in_force version=3
             0.6 entry-1 ts=2026-01-01T00:00:00.600Z level=INFO process=entry-1 thread=t event=config_in_force version=4
             0.7 entry-1 ts=2026-01-01T00:00:02.000Z level=INFO process=entry-1 thread=t event=config_in_force version=5
             0.7 entry-1 ts=2026-01-01T00:00:01.100Z level=INFO process=entry-1 thread=t event=request_done request=a1 status=502
             0.7 entry-1 ts=2026-01-01T00:00:01.200Z level=INFO process=entry-1 thread=t event=request_done request=other status=200
             0.6 entry-1 ts=2026-01-01T00:00:01.000Z level=INFO process=entry-1 thread=t event=send_failed request=a1 cause="reset \\"by\\" peer" server=s1
            not a line of a log
            """;

    private static final String SIDE_LOG =
            """
            ts=2026-01-01T00:00:00.100Z level=INFO process=side-1 thread=t event=run_ended trace=t7 request=b2 outcome=lost
            ts=2026-01-01T00:00:00.300Z level=INFO process=entry-2 thread=t event=link_lost trace=t7 side=side-1
            ts=2026-01-01T00:00:00.400Z level=WARN process=side-1 thread=t event=log_lines_dropped lines=9
            """;

    @TempDir private Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private boolean explain(String id, String... files) throws IOException {
        ByteArrayInputStream input =
                new ByteArrayInputStream(ENTRY_LOG.getBytes(StandardCharsets.UTF_8));
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        return new ExplainCommand(input, stream).explain(id, List.of(files));
    }

    private List<String> printed() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void printsEventsInOrderOfTimeWithLastKnownState() throws IOException {
        assertThat(explain("a1")).isTrue();
        assertThat(printed()).hasSize(3);
        assertThat(printed().get(0)).endsWith("event=config_in_force version=4");
        assertThat(printed().get(1))
                .startsWith("request  2026-01-01T00:00:01.000Z entry-1 event=send_failed");
        assertThat(printed().get(2)).contains("event=request_done request=a1 status=502");
    }

    @Test
    void followsTheTraceAcrossProcessesAndReportsMissingLines() throws IOException {
        Path file = Files.writeString(folder.resolve("two.log"), SIDE_LOG);
        assertThat(explain("b2", file.toString())).isTrue();
        assertThat(printed().get(0)).contains("run_ended");
        assertThat(printed().get(1)).contains("link_lost");
        assertThat(printed().get(2)).contains("no line says how the request ended");
        assertThat(printed().get(3)).contains("log_lines_dropped lines=9");
    }

    @Test
    void unknownRequestIsReportedAsMissing() throws IOException {
        assertThat(explain("unknown")).isFalse();
        assertThat(printed().get(0)).startsWith("missing: no line names the request");
    }

    @Test
    void missingFileIsAnError() {
        String missing = folder.resolve("none.log").toString();
        assertThrows(IOException.class, () -> explain("a1", missing));
    }

    @Test
    void quotedValuesKeepTheirSpacesAndQuotes() {
        LoggedEvent event =
                LoggedEvent.parse(
                                "ts=1 process=p event=e cause=\"reset \\\"by\\\" peer = x\" server=s1")
                        .orElseThrow();
        assertThat(event.field("cause")).isEqualTo("reset \"by\" peer = x");
        assertThat(event.field("server")).isEqualTo("s1");
        assertThat(event.field("unknown")).isEmpty();
    }

    @Test
    void linesWithoutTimeOrEventAreIgnored() {
        assertThat(LoggedEvent.parse("event=e")).isEmpty();
        assertThat(LoggedEvent.parse("ts=1 process=p some words")).isEmpty();
        assertThat(LoggedEvent.parse("")).isEmpty();
    }
}
