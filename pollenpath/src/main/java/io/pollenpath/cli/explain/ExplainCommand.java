package io.pollenpath.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads logs and prints the timeline of one request. */
public final class ExplainCommand {

    /** The file name that stands for standard input. */
    private static final String STANDARD_INPUT = "-";

    private final InputStream input;
    private final PrintStream out;

    /**
     * Creates the command.
     *
     * @param input standard input, not null
     * @param out receives the timeline, not null
     */
    public ExplainCommand(InputStream input, PrintStream out) {
        this.input = input;
        this.out = out;
    }

    /**
     * Prints the timeline of a request.
     *
     * @param requestId the id of the request, not null
     * @param files the logs; none for standard input
     * @return true if any line contains the id of the request
     * @throws IOException if a log can't be read
     */
    public boolean explain(String requestId, List<String> files) throws IOException {
        List<LoggedEvent> events = new ArrayList<>();
        for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
            try (BufferedReader reader = open(file)) {
                reader.lines()
                        .map(LoggedEvent::parse)
                        .flatMap(Optional::stream)
                        .forEach(events::add);
            }
        }
        RequestTimeline timeline = new RequestTimeline(requestId, events);
        timeline.lines().forEach(out::println);
        return timeline.isKnown();
    }

    private BufferedReader open(String file) throws IOException {
        return file.equals(STANDARD_INPUT)
                ? new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(file), StandardCharsets.UTF_8);
    }
}
