package io.pollenpath.bench.prove.runs;

import io.pollenpath.state.Executed;
import java.util.ArrayList;
import java.util.List;

/**
 * A seeded simulation of callers that retry the same idempotency keys at several entries while a
 * fault is injected.
 */
public final class ClaimSimulation {

    private static final int ENTRY_COUNT = 3;
    private static final int EXECUTOR_COUNT = 3;
    private static final int KEY_COUNT = 12;
    private static final int START_MS = 500;
    private static final int START_WINDOW_MS = 4_000;
    private static final int MAX_CALLS = 8;
    private static final int MAX_RETRY_DELAY_MS = 600;
    private static final int CALLER_TIMEOUT_MS = 1_500;
    private static final int FAULT_COUNT = 8;
    private static final int OUTAGE_MS = 3_000;
    private static final int MAX_RESTART_DELAY_MS = 100;
    private static final int MAX_PAUSE_MS = (int) (SimulatedExecutor.RETENTION_MS * 3 / 2);
    private static final double EXTRA_CALL_PROBABILITY = 0.5;
    private static final long END_MS = 120_000;

    private final EventQueue events;
    private final Fault fault;
    private final Mutant mutant;
    private final RunAudit audit = new RunAudit();
    private final List<SimulatedProcess> entries = new ArrayList<>();
    private final List<SimulatedExecutor> executors = new ArrayList<>();
    private final SimulatedStore store;
    private final ClaimStore claimStore;
    private final SimulatedNetwork network;

    private ClaimSimulation(GrantPolicy policy, Fault fault, Mutant mutant, long seed) {
        this.fault = fault;
        this.mutant = mutant;
        events = new EventQueue(seed);
        store = new SimulatedStore(events, fault, mutant);
        for (int i = 0; i < ENTRY_COUNT; i++) {
            entries.add(new SimulatedProcess(events, "entry-" + i));
        }
        for (int i = 0; i < EXECUTOR_COUNT; i++) {
            executors.add(new SimulatedExecutor(events, "server-" + i, audit, fault, mutant));
        }
        network = new SimulatedNetwork(events, fault, executors);
        claimStore =
                policy == GrantPolicy.CLAIMS
                        ? store
                        : new SlotClaimStore(events, fault, mutant, entries, executors, store);
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
    public static SimulationResult run(GrantPolicy policy, Fault fault, Mutant mutant, long seed) {
        return new ClaimSimulation(policy, fault, mutant, seed).run();
    }

    private SimulationResult run() {
        entries.forEach(network::sendReports);
        for (int i = 0; i < KEY_COUNT; i++) {
            Caller caller = new Caller("key-" + i);
            events.schedule(START_MS + events.nextInt(START_WINDOW_MS), caller::sendCall);
        }
        for (int i = 0; i < FAULT_COUNT; i++) {
            events.schedule(START_MS + events.nextInt(2 * START_WINDOW_MS), this::injectFault);
        }
        if (fault.includes(Fault.STORE_DOWN)) {
            int outageStartMs = START_MS + events.nextInt(START_WINDOW_MS);
            store.setOutage(outageStartMs, outageStartMs + OUTAGE_MS);
        }
        events.runUntil(END_MS);
        return new SimulationResult(
                audit.duplicateRuns(),
                audit.falseAnswers(),
                audit.answers(),
                audit.answersWithoutResult(),
                audit.requestsRun(),
                claimStore.storeWrites());
    }

    private void injectFault() {
        SimulatedProcess entry = entries.get(events.nextInt(ENTRY_COUNT));
        SimulatedProcess executor = executors.get(events.nextInt(EXECUTOR_COUNT));
        boolean killBoth = fault.includes(Fault.ENTRY_AND_EXECUTOR_KILLED);
        if (killBoth || fault.includes(Fault.ENTRY_KILLED)) {
            killAndRestart(entry);
        }
        if (killBoth || fault.includes(Fault.EXECUTOR_KILLED)) {
            killAndRestart(executor);
        }
        if (fault.includes(Fault.ENTRY_FROZEN)) {
            entry.pause(events.nextInt(MAX_PAUSE_MS));
        }
        if (fault.includes(Fault.EXECUTOR_FROZEN)) {
            executor.pause(events.nextInt(MAX_PAUSE_MS));
        }
    }

    private void killAndRestart(SimulatedProcess process) {
        if (process.isRunning()) {
            process.kill();
            events.schedule(1 + events.nextInt(MAX_RESTART_DELAY_MS), process::restart);
        }
    }

    /**
     * A caller that sends one request to random entries, up to {@link ClaimSimulation#MAX_CALLS}
     * times. It retries after a timeout, after an answer without a result, and at random without
     * such a cause.
     */
    private final class Caller {
        private final String requestId;
        private int callCount;

        Caller(String requestId) {
            this.requestId = requestId;
        }

        void sendCall() {
            SimulatedProcess entry = entries.get(events.nextInt(ENTRY_COUNT));
            if (!entry.isRunning()) {
                events.schedule(MAX_RESTART_DELAY_MS, this::sendCall);
                return;
            }
            callCount++;
            new PendingCall(entry).start();
            boolean extraCall =
                    fault.includes(Fault.RETRY_STORM) || events.nextBoolean(EXTRA_CALL_PROBABILITY);
            if (extraCall) {
                retryWithin(MAX_RETRY_DELAY_MS);
            }
        }

        private void retryWithin(int maxDelayMs) {
            if (callCount < MAX_CALLS) {
                events.schedule(events.nextInt(maxDelayMs), this::sendCall);
            }
        }

        /** A call that waits for its answer. */
        private final class PendingCall {
            private final SimulatedProcess entry;
            private final SimulatedProcess.Incarnation entryIncarnation;
            private int runsWhenDecided;
            private boolean completed;

            PendingCall(SimulatedProcess entry) {
                this.entry = entry;
                entryIncarnation = entry.currentIncarnation();
            }

            void start() {
                audit.onCall(requestId);
                new Call(
                                network,
                                claimStore,
                                entry,
                                requestId,
                                mutant,
                                () -> runsWhenDecided = audit.runs(requestId),
                                this::onAnswer)
                        .start();
                events.schedule(CALLER_TIMEOUT_MS, this::onTimeout);
            }

            private void onAnswer(Executed executed) {
                completed = true;
                audit.onAnswer(requestId, executed, runsWhenDecided);
                if (fault.includes(Fault.RETENTION_PASSED)
                        && events.nextBoolean(EXTRA_CALL_PROBABILITY)) {
                    retryWithin((int) (2 * SimulatedExecutor.RETENTION_MS));
                } else if (executed != Executed.YES) {
                    retryWithin(MAX_RETRY_DELAY_MS);
                }
            }

            /**
             * Retries when the caller times out. If the entry was terminated meanwhile, the call is
             * recorded as unanswered because no answer can arrive any more.
             */
            private void onTimeout() {
                if (completed) {
                    return;
                }
                if (!entry.isRunning() || !entry.currentIncarnation().equals(entryIncarnation)) {
                    completed = true;
                    audit.onCallAborted(requestId);
                }
                retryWithin(MAX_RETRY_DELAY_MS);
            }
        }
    }
}
