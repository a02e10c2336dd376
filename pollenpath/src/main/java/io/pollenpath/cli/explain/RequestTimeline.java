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
final class RequestTimeline {

    private static final String REQUEST = "request";
    private static final String TRACE = "trace";
    private static final String LINES_DROPPED = "log_lines_dropped";

    /** The events of which one ends each request. */
    private static final Set<String> END_EVENTS =
            Set.of(
                    "request_done",
                    "request_refused",
                    "request_rejected",
                    "request_ended",
                    "resumption_ended");

    /** The events that report a change in the state of a process. */
    private static final Set<String> STATE_EVENTS =
            Set.of(
                    "config_in_force",
                    "config_skipped",
                    "servers_changed",
                    "store_lost",
                    "store_regained",
                    "watch_failed",
                    "watch_goes_on",
                    "settings_kept",
                    "settings_reloaded",
                    "started",
                    "stopping");

    private final List<LoggedEvent> events;
    private final List<LoggedEvent> requestEvents;

    /**
     * Creates the timeline of a request.
     *
     * @param requestId the id of the request
     * @param events the log lines of all processes, in any order
     */
    RequestTimeline(String requestId, List<LoggedEvent> events) {
        this.events = events.stream().sorted(Comparator.comparing(LoggedEvent::time)).toList();
        requestEvents = eventsOf(requestId);
    }

    /** Returns whether any line contains the id of the request. */
    boolean isKnown() {
        return !requestEvents.isEmpty();
    }

    /** Returns the timeline, a line of text for each event. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        if (requestEvents.isEmpty()) {
            lines.add(
                    "missing: no line names the request; it never reached these processes, or"
                            + " their log levels exclude it, or their logs are not among the"
                            + " files");
        } else {
            LoggedEvent last = requestEvents.get(requestEvents.size() - 1);
            lastKnownState(last).forEach(event -> lines.add("believed " + format(event)));
            requestEvents.forEach(event -> lines.add("request  " + format(event)));
            if (requestEvents.stream().noneMatch(event -> END_EVENTS.contains(event.event()))) {
                lines.add(
                        "missing: no line says how the request ended; the process may have been"
                                + " killed or may still be processing it");
            }
        }
        droppedLineEvents()
                .forEach(event -> lines.add("missing: lines were dropped " + format(event)));
        return lines;
    }

    private List<LoggedEvent> eventsOf(String requestId) {
        Set<String> traceIds = new HashSet<>();
        events.stream()
                .filter(event -> event.field(REQUEST).equals(requestId))
                .map(event -> event.field(TRACE))
                .filter(trace -> !trace.isEmpty())
                .forEach(traceIds::add);
        return events.stream()
                .filter(
                        event ->
                                event.field(REQUEST).equals(requestId)
                                        || traceIds.contains(event.field(TRACE)))
                .toList();
    }

    /**
     * Returns the newest state event of each kind that the process had logged by the last event.
     */
    private List<LoggedEvent> lastKnownState(LoggedEvent last) {
        Map<String, LoggedEvent> newest = new LinkedHashMap<>();
        for (LoggedEvent event : events) {
            boolean before = event.time().compareTo(last.time()) <= 0;
            if (before
                    && event.process().equals(last.process())
                    && STATE_EVENTS.contains(event.event())) {
                newest.put(event.event(), event);
            }
        }
        return newest.values().stream().sorted(Comparator.comparing(LoggedEvent::time)).toList();
    }

    private List<LoggedEvent> droppedLineEvents() {
        Set<String> processes = new HashSet<>();
        requestEvents.forEach(event -> processes.add(event.process()));
        return events.stream()
                .filter(event -> event.event().equals(LINES_DROPPED))
                .filter(event -> processes.isEmpty() || processes.contains(event.process()))
                .toList();
    }

    private static String format(LoggedEvent event) {
        return event.time() + " " + event.process() + " " + event.text();
    }
}
