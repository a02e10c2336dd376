package io.pollenpath.bench.prove.runs;

import io.pollenpath.state.Executed;
import io.pollenpath.state.RunClaim;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Delivers frames between entries and executors; may delay, duplicate or lose them. */
final class SimulatedNetwork {

    private static final int MAX_DELAY_MS = 3;
    private static final int MAX_LATE_REFUSAL_DELAY_MS = 500;
    private static final int REPORT_INTERVAL_MS = 200;
    private static final double CUT_PROBABILITY = 0.3;
    private static final double LATE_PROBABILITY = 0.2;
    private static final String CONTENT = "content";

    /** The last report that an entry received from an executor. */
    private record Report(long incarnation, long timeMs) {}

    private final EventQueue events;
    private final Fault fault;
    private final List<SimulatedExecutor> executors;
    private final Map<String, Report> lastReports = new HashMap<>();

    SimulatedNetwork(EventQueue events, Fault fault, List<SimulatedExecutor> executors) {
        this.events = events;
        this.fault = fault;
        this.executors = executors;
    }

    /** Sends a report of every running executor to an entry, now and periodically. */
    void sendReports(SimulatedProcess entry) {
        for (SimulatedExecutor executor : executors) {
            if (executor.isRunning()) {
                Report report = new Report(executor.incarnation(), executor.timeMs());
                entry.post(1, () -> lastReports.put(entry.name + "/" + executor.name, report));
            }
        }
        events.schedule(REPORT_INTERVAL_MS, () -> sendReports(entry));
    }

    /**
     * Chooses a random executor and returns a claim for it, with the incarnation and time of the
     * last report that the entry received.
     */
    RunClaim candidateClaim(SimulatedProcess entry, String requestId) {
        SimulatedExecutor executor = executors.get(events.nextInt(executors.size()));
        Report report =
                lastReports.getOrDefault(entry.name + "/" + executor.name, new Report(0, 0));
        return new RunClaim(
                requestId,
                CONTENT,
                executor.name,
                report.incarnation(),
                report.timeMs(),
                1,
                0,
                false,
                0);
    }

    /**
     * Sends a submit frame to the executor that the claim names. The reply is dropped if the entry
     * has been restarted or is down when the reply arrives.
     */
    void submit(SimulatedProcess entry, RunClaim claim, Consumer<Executed> reply) {
        SimulatedProcess.Incarnation entryIncarnation = entry.currentIncarnation();
        Consumer<Executed> replyOverNetwork =
                executed ->
                        sendFrame(
                                entry,
                                () -> {
                                    if (entry.currentIncarnation().equals(entryIncarnation)) {
                                        reply.accept(executed);
                                    }
                                });
        if (fault.includes(Fault.CUT_BEFORE_SEND) && events.nextBoolean(CUT_PROBABILITY)) {
            entry.post(MAX_DELAY_MS, () -> reply.accept(Executed.UNKNOWN));
            return;
        }
        for (SimulatedExecutor executor : executors) {
            if (executor.name.equals(claim.executor())) {
                sendSubmit(entry, executor, claim, replyOverNetwork, reply);
            }
        }
    }

    private void sendSubmit(
            SimulatedProcess entry,
            SimulatedExecutor executor,
            RunClaim claim,
            Consumer<Executed> replyOverNetwork,
            Consumer<Executed> reply) {
        boolean cut = fault.includes(Fault.CUT_AFTER_SEND) && events.nextBoolean(CUT_PROBABILITY);
        if (cut) {
            entry.post(MAX_DELAY_MS, () -> reply.accept(Executed.UNKNOWN));
        }
        sendFrame(executor, () -> executor.submit(claim, cut ? ignored -> {} : replyOverNetwork));
    }

    /** Delivers a frame to the process that has the address when the frame arrives. */
    private void sendFrame(SimulatedProcess recipient, Runnable frame) {
        boolean late = fault.includes(Fault.LATE_FRAMES) && events.nextBoolean(LATE_PROBABILITY);
        boolean duplicate =
                fault.includes(Fault.LATE_FRAMES) && events.nextBoolean(LATE_PROBABILITY);
        if (fault.includes(Fault.LATE_REFUSALS) && events.nextBoolean(LATE_PROBABILITY)) {
            events.schedule(
                    1 + events.nextInt(MAX_LATE_REFUSAL_DELAY_MS), () -> recipient.post(0, frame));
            return;
        }
        int maxLateDelayMs = (int) (SimulatedExecutor.RETENTION_MS * 3 / 2);
        events.schedule(
                1 + events.nextInt(late ? maxLateDelayMs : MAX_DELAY_MS),
                () -> recipient.post(0, frame));
        if (duplicate) {
            events.schedule(1 + events.nextInt(maxLateDelayMs), () -> recipient.post(0, frame));
        }
    }
}
