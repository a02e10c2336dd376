package io.pollenpath.bench.prove.runs;

import io.pollenpath.state.Executed;
import java.util.ArrayList;
import java.util.List;

/**
 * A seeded simulation of callers that retry the same idempotency keys at several entries while a
 * fault is injected.
 */
public final class Schedule {

    private static final int ENTRIES = 3;
    private static final int EXECUTORS = 3;
    private static final int KEYS = 12;
    private static final int START_MS = 500;
    private static final int SPREAD_MS = 4_000;
    private static final int MAX_CALLS = 8;
    private static final int MAX_PAUSE_MS = 600;
    private static final int PATIENCE_MS = 1_500;
    private static final int FAULTS = 8;
    private static final int OUTAGE_MS = 3_000;
    private static final int RESTART_MS = 100;
    private static final int MAX_FREEZE_MS = (int) (SimulatedExecutor.RETENTION_MS * 3 / 2);
    private static final double EXTRA_CALL_CHANCE = 0.5;
    private static final long END_MS = 120_000;

    private final EventList events;
    private final Fault fault;
    private final Mutant mutant;
    private final Backend backend = new Backend();
    private final List<Node> entries = new ArrayList<>();
    private final List<SimulatedExecutor> executors = new ArrayList<>();
    private final SimulatedStore store;
    private final ClaimStore claims;
    private final Network network;

    private Schedule(Policy policy, Fault fault, Mutant mutant, long seed) {
        this.fault = fault;
        this.mutant = mutant;
        events = new EventList(seed);
        store = new SimulatedStore(events, fault, mutant);
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Node(events, "entry-" + i));
        }
        for (int i = 0; i < EXECUTORS; i++) {
            executors.add(new SimulatedExecutor(events, "server-" + i, backend, fault, mutant));
        }
        network = new Network(events, fault, executors);
        claims =
                policy == Policy.CLAIMS
                        ? store
                        : new SlotOwners(events, fault, mutant, entries, executors, store);
    }

    /**
     * Runs one simulation.
     *
     * @param policy how the right to run a request is granted, not null
     * @param fault the fault to inject, not null
     * @param mutant the deliberate defect, not null
     * @param seed the seed of every random choice
     * @return the result
     */
    public static Outcome run(Policy policy, Fault fault, Mutant mutant, long seed) {
        return new Schedule(policy, fault, mutant, seed).run();
    }

    private Outcome run() {
        entries.forEach(network::report);
        for (int i = 0; i < KEYS; i++) {
            Caller caller = new Caller("key-" + i);
            events.after(START_MS + events.below(SPREAD_MS), caller::call);
        }
        for (int i = 0; i < FAULTS; i++) {
            events.after(START_MS + events.below(2 * SPREAD_MS), this::strike);
        }
        if (fault.includes(Fault.STORE_DOWN)) {
            int fromMs = START_MS + events.below(SPREAD_MS);
            store.goDown(fromMs, fromMs + OUTAGE_MS);
        }
        events.runUntil(END_MS);
        return new Outcome(
                backend.doubleRuns(),
                backend.falseAnswers(),
                backend.answers(),
                backend.refusals(),
                backend.requestsRun(),
                claims.storeWrites());
    }

    private void strike() {
        Node entry = entries.get(events.below(ENTRIES));
        Node executor = executors.get(events.below(EXECUTORS));
        boolean both = fault.includes(Fault.ENTRY_AND_EXECUTOR_KILLED);
        if (both || fault.includes(Fault.ENTRY_KILLED)) {
            bounce(entry);
        }
        if (both || fault.includes(Fault.EXECUTOR_KILLED)) {
            bounce(executor);
        }
        if (fault.includes(Fault.ENTRY_FROZEN)) {
            entry.freeze(events.below(MAX_FREEZE_MS));
        }
        if (fault.includes(Fault.EXECUTOR_FROZEN)) {
            executor.freeze(events.below(MAX_FREEZE_MS));
        }
    }

    private void bounce(Node node) {
        if (node.isAlive()) {
            node.kill();
            events.after(1 + events.below(RESTART_MS), node::restart);
        }
    }

    /**
     * A caller that sends one request to random entries, up to {@link Schedule#MAX_CALLS} times. It
     * retries after a timeout, after an answer without a result, and at random without such a
     * cause.
     */
    private final class Caller {
        private final String requestId;
        private int calls;

        Caller(String requestId) {
            this.requestId = requestId;
        }

        void call() {
            Node entry = entries.get(events.below(ENTRIES));
            if (!entry.isAlive()) {
                events.after(RESTART_MS, this::call);
                return;
            }
            calls++;
            new Open(entry).start();
            boolean extra = fault.includes(Fault.RETRY_STORM) || events.chance(EXTRA_CALL_CHANCE);
            if (extra) {
                again(MAX_PAUSE_MS);
            }
        }

        private void again(int pauseMs) {
            if (calls < MAX_CALLS) {
                events.after(events.below(pauseMs), this::call);
            }
        }

        /** A call that waits for its answer. */
        private final class Open {
            private final Node entry;
            private final Node.Life life;
            private int runsWhenDecided;
            private boolean ended;

            Open(Node entry) {
                this.entry = entry;
                life = entry.life();
            }

            void start() {
                backend.called(requestId);
                new Call(
                                network,
                                claims,
                                entry,
                                requestId,
                                mutant,
                                () -> runsWhenDecided = backend.runs(requestId),
                                this::answered)
                        .start();
                events.after(PATIENCE_MS, this::lookAfter);
            }

            private void answered(Executed executed) {
                ended = true;
                backend.answered(requestId, executed, runsWhenDecided);
                if (fault.includes(Fault.RETENTION_PASSED) && events.chance(EXTRA_CALL_CHANCE)) {
                    again((int) (2 * SimulatedExecutor.RETENTION_MS));
                } else if (executed != Executed.YES) {
                    again(MAX_PAUSE_MS);
                }
            }

            /**
             * Retries when the caller times out. If the entry was terminated meanwhile, the call is
             * recorded as unanswered because no answer can arrive any more.
             */
            private void lookAfter() {
                if (ended) {
                    return;
                }
                if (!entry.isAlive() || !entry.life().equals(life)) {
                    ended = true;
                    backend.unanswered(requestId);
                }
                again(MAX_PAUSE_MS);
            }
        }
    }
}
