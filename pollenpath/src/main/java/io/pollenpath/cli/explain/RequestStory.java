package io.pollenpath.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The timeline of one request: its log lines in order of time, the last known state of the process
 * that logged the last one, and which lines are missing.
 */
final class RequestStory {

    private static final String REQUEST = "request";
    private static final String TRACE = "trace";
    private static final String DROPPED = "log_lines_dropped";

    /** The events of which one ends each request. */
    private static final Set<String> ENDS =
            Set.of(
                    "request_done",
                    "request_refused",
                    "request_rejected",
                    "request_ended",
                    "resumption_ended");

    /** The events that report a change in the state of a process. */
    private static final Set<String> BELIEFS =
            Set.of(
                    "config_in_force",
                    "config_skipped",
                    "servers_changed",
                    "store_lost",
                    "store_regained",
                    "settings_kept",
                    "settings_reloaded",
                    "started",
                    "stopping");

    private final List<LoggedEvent> events;
    private final List<LoggedEvent> own;

    /**
     * Creates the timeline of a request.
     *
     * @param requestId the id of the request
     * @param events the log lines of all processes, in any order
     */
    RequestStory(String requestId, List<LoggedEvent> events) {
        this.events = events.stream().sorted(Comparator.comparing(LoggedEvent::time)).toList();
        own = linesOf(requestId);
    }

    /** Returns whether any line contains the id of the request. */
    boolean isKnown() {
        return !own.isEmpty();
    }

    /** Returns the timeline, a line of text for each event. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        if (own.isEmpty()) {
            lines.add(
                    "missing: no line names the request; it never reached these processes, or"
                            + " their log levels leave it out, or their logs are not among the"
                            + " files");
        } else {
            LoggedEvent last = own.get(own.size() - 1);
            beliefs(last).forEach(event -> lines.add("believed " + show(event)));
            own.forEach(event -> lines.add("request  " + show(event)));
            if (own.stream().noneMatch(event -> ENDS.contains(event.event()))) {
                lines.add(
                        "missing: no line tells how the request ended; the process may have been"
                                + " killed or still be at work");
            }
        }
        dropped().forEach(event -> lines.add("missing: lines were dropped " + show(event)));
        return lines;
    }

    private List<LoggedEvent> linesOf(String requestId) {
        Set<String> traces = new HashSet<>();
        events.stream()
                .filter(event -> event.field(REQUEST).equals(requestId))
                .map(event -> event.field(TRACE))
                .filter(trace -> !trace.isEmpty())
                .forEach(traces::add);
        return events.stream()
                .filter(
                        event ->
                                event.field(REQUEST).equals(requestId)
                                        || traces.contains(event.field(TRACE)))
                .toList();
    }

    /**
     * Returns the newest state event of each kind that the process had logged by the last event.
     */
    private List<LoggedEvent> beliefs(LoggedEvent last) {
        Map<String, LoggedEvent> newest = new LinkedHashMap<>();
        for (LoggedEvent event : events) {
            boolean before = event.time().compareTo(last.time()) <= 0;
            if (before
                    && event.process().equals(last.process())
                    && BELIEFS.contains(event.event())) {
                newest.put(event.event(), event);
            }
        }
        return newest.values().stream().sorted(Comparator.comparing(LoggedEvent::time)).toList();
    }

    private List<LoggedEvent> dropped() {
        Set<String> processes = new HashSet<>();
        own.forEach(event -> processes.add(event.process()));
        return events.stream()
                .filter(event -> event.event().equals(DROPPED))
                .filter(event -> processes.isEmpty() || processes.contains(event.process()))
                .toList();
    }

    private static String show(LoggedEvent event) {
        return event.time() + " " + event.process() + " " + event.text();
    }
}
