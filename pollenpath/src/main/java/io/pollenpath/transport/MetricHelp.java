package io.pollenpath.transport;

import java.util.Map;

/** The HELP text of each metric family. */
final class MetricHelp {

    private static final Map<String, String> HELP_TEXTS =
            Map.ofEntries(
                    Map.entry("open_requests", "Requests of callers that are being served."),
                    Map.entry("requests_total", "Requests of callers that ended, by outcome."),
                    Map.entry("request_seconds", "Time from a request to the end of its answer."),
                    Map.entry("attempts_total", "Attempts at side processes that ended."),
                    Map.entry("runs_total", "Runs on the backend server that ended, by outcome."),
                    Map.entry("run_seconds", "Time of a run on the backend server."),
                    Map.entry("queue_seconds", "Time of a request in the queue."),
                    Map.entry("running", "Requests that run on the backend server."),
                    Map.entry("queued", "Requests that wait in the queue."),
                    Map.entry("accepting", "1 while new work is taken, 0 while draining."),
                    Map.entry("backend_reachable", "1 while the backend server can be reached."),
                    Map.entry("refused_total", "Submissions that were refused, by code."),
                    Map.entry("peer_frames_received_total", "Frames from peers, by kind."),
                    Map.entry("peer_frames_sent_total", "Frames to peers, by kind."),
                    Map.entry("peer_links", "Open links to peers."),
                    Map.entry("config_revision", "Highest version among declarations in force."),
                    Map.entry("config_provisional", "1 while declarations come from peers only."),
                    Map.entry("config_confirmed_age_ms", "Age of the last confirmation."),
                    Map.entry("config_watching", "1 while this process watches the Object API."),
                    Map.entry("config_store_behind", "1 while the store has older declarations."),
                    Map.entry("object_api_calls_total", "Calls of the Object API, by kind."),
                    Map.entry("object_api_failures_total", "Failed calls, by kind of failure."),
                    Map.entry("object_api_call_seconds", "Time of a call of the Object API."),
                    Map.entry("buffered_bytes", "Requests and answers in memory, in bytes."),
                    Map.entry("buffered_max_bytes", "The most that may be in memory."),
                    Map.entry("buffers_waiting", "Bodies that are not read for want of memory."),
                    Map.entry("memory_short_total", "Requests refused and answers cut."),
                    Map.entry("work_failed_total", "Work of the event loop that failed."),
                    Map.entry("process_cpu_seconds_total", "Processor time of this process."),
                    Map.entry("process_heap_bytes", "Heap in use."),
                    Map.entry("process_heap_max_bytes", "Largest heap."),
                    Map.entry("process_non_heap_bytes", "Memory of the runtime beside the heap."),
                    Map.entry("process_direct_bytes", "Direct buffers of the event loops."),
                    Map.entry("process_resident_bytes", "Resident memory; 0 where unknown."),
                    Map.entry("process_threads", "Live threads."),
                    Map.entry("process_open_descriptors", "Open sockets and files."),
                    Map.entry("process_gc_seconds_total", "Time spent in garbage collection."),
                    Map.entry("process_uptime_seconds", "Time since the process started."));

    private MetricHelp() {}

    /** Returns the HELP text of a family, or a reference to the documentation if it has none. */
    static String of(String family) {
        return HELP_TEXTS.getOrDefault(family, "See docs/OPERATIONS.md.");
    }
}
