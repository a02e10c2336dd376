package io.pollenpath.bench.prove.runs;

import io.pollenpath.state.Executed;
import io.pollenpath.state.RunClaim;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Delivers frames between entries and executors; may delay, duplicate or lose them. */
final class Network {

    private static final int MAX_DELAY_MS = 3;
    private static final int MAX_SLOW_MS = 500;
    private static final int REPORT_MS = 200;
    private static final double CUT_CHANCE = 0.3;
    private static final double LATE_CHANCE = 0.2;
    private static final String CONTENT = "content";

    /** The last report that an entry received from an executor. */
    private record Report(long incarnation, long timeMs) {}

    private final EventList events;
    private final Fault fault;
    private final List<SimulatedExecutor> executors;
    private final Map<String, Report> reports = new HashMap<>();

    Network(EventList events, Fault fault, List<SimulatedExecutor> executors) {
        this.events = events;
        this.fault = fault;
        this.executors = executors;
    }

    /** Sends a report of every running executor to an entry, now and periodically. */
    void report(Node entry) {
        for (SimulatedExecutor executor : executors) {
            if (executor.isAlive()) {
                Report report = new Report(executor.incarnation(), executor.timeMs());
                entry.post(1, () -> reports.put(entry.name + "/" + executor.name, report));
            }
        }
        events.after(REPORT_MS, () -> report(entry));
    }

    /**
     * Chooses a random executor and returns a claim for it, with the incarnation and time of the
     * last report that the entry received.
     */
    RunClaim candidate(Node entry, String requestId) {
        SimulatedExecutor executor = executors.get(events.below(executors.size()));
        Report report = reports.getOrDefault(entry.name + "/" + executor.name, new Report(0, 0));
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
    void submit(Node entry, RunClaim claim, Consumer<Executed> reply) {
        Node.Life life = entry.life();
        Consumer<Executed> replyOverNetwork =
                executed ->
                        carry(
                                entry,
                                () -> {
                                    if (entry.life().equals(life)) {
                                        reply.accept(executed);
                                    }
                                });
        if (fault.includes(Fault.CUT_BEFORE_SEND) && events.chance(CUT_CHANCE)) {
            entry.post(MAX_DELAY_MS, () -> reply.accept(Executed.UNKNOWN));
            return;
        }
        for (SimulatedExecutor executor : executors) {
            if (executor.name.equals(claim.executor())) {
                deliver(entry, executor, claim, replyOverNetwork, reply);
            }
        }
    }

    private void deliver(
            Node entry,
            SimulatedExecutor executor,
            RunClaim claim,
            Consumer<Executed> replyOverNetwork,
            Consumer<Executed> reply) {
        boolean cut = fault.includes(Fault.CUT_AFTER_SEND) && events.chance(CUT_CHANCE);
        if (cut) {
            entry.post(MAX_DELAY_MS, () -> reply.accept(Executed.UNKNOWN));
        }
        carry(executor, () -> executor.submit(claim, cut ? ignored -> {} : replyOverNetwork));
    }

    /** Delivers a frame to the process that has the address when the frame arrives. */
    private void carry(Node recipient, Runnable frame) {
        boolean late = fault.includes(Fault.LATE_FRAMES) && events.chance(LATE_CHANCE);
        boolean duplicate = fault.includes(Fault.LATE_FRAMES) && events.chance(LATE_CHANCE);
        if (fault.includes(Fault.LATE_REFUSALS) && events.chance(LATE_CHANCE)) {
            events.after(1 + events.below(MAX_SLOW_MS), () -> recipient.post(0, frame));
            return;
        }
        int lateMs = (int) (SimulatedExecutor.RETENTION_MS * 3 / 2);
        events.after(
                1 + events.below(late ? lateMs : MAX_DELAY_MS), () -> recipient.post(0, frame));
        if (duplicate) {
            events.after(1 + events.below(lateMs), () -> recipient.post(0, frame));
        }
    }
}
