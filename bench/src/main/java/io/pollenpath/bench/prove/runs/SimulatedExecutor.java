package io.pollenpath.bench.prove.runs;

import io.pollenpath.coordination.GrantValidator;
import io.pollenpath.coordination.RunAdmission;
import io.pollenpath.coordination.RunLedger;
import io.pollenpath.coordination.SlotFences;
import io.pollenpath.state.Executed;
import io.pollenpath.state.RunClaim;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A simulated side that admits requests by {@link RunAdmission} and {@link RunLedger}. */
final class SimulatedExecutor extends SimulatedProcess {

    static final long RETENTION_MS = 10_000;

    private static final int MAX_QUEUE_MS = 20;
    private static final int MAX_RUN_MS = 200;
    private static final double REFUSAL_PROBABILITY = 0.5;

    private final RunAudit audit;
    private final Fault fault;
    private final Mutant mutant;
    private final Map<String, Consumer<Executed>> replies = new HashMap<>();
    private final Map<String, Boolean> finished = new HashMap<>();
    private SlotFences fences;
    private RunLedger ledger;
    private GrantValidator gate;
    private RunAdmission admission;
    private long incarnation;
    private int nextLocalAttempt = 1;

    SimulatedExecutor(EventQueue events, String name, RunAudit audit, Fault fault, Mutant mutant) {
        super(events, name);
        this.audit = audit;
        this.fault = fault;
        this.mutant = mutant;
        resetState();
    }

    private void resetState() {
        incarnation = 1L + events.nextInt(Integer.MAX_VALUE);
        ledger = new RunLedger(TimeUnit.MILLISECONDS.toNanos(RETENTION_MS));
        gate = new GrantValidator(incarnation, events.nowNanos(), RETENTION_MS);
        admission = new RunAdmission(gate, ledger);
        fences = new SlotFences();
        replies.clear();
        finished.clear();
    }

    @Override
    void restart() {
        super.restart();
        resetState();
    }

    SlotFences fences() {
        return fences;
    }

    long incarnation() {
        return incarnation;
    }

    long timeMs() {
        return gate.executorTimeMs(events.nowNanos());
    }

    /** Handles a submit frame: admits the request, attaches to its earlier run or refuses it. */
    void submit(RunClaim claim, Consumer<Executed> reply) {
        long nowNanos = events.nowNanos();
        ledger.expire(nowNanos);
        int slot = SlotClaimStore.slotOf(claim.requestId());
        boolean staleFence =
                claim.fence() > 0
                        && mutant != Mutant.NO_SLOT_FENCE
                        && ledger.wouldAdmit(claim.requestId(), claim.attempt())
                        && !fences.accepts(slot, claim.fence());
        if (staleFence) {
            reply.accept(Executed.UNKNOWN);
            return;
        }
        boolean accepting =
                !(fault.includes(Fault.REFUSALS) && events.nextBoolean(REFUSAL_PROBABILITY / 2));
        switch (admission.submit(arrival(claim), accepting, nowNanos)) {
            case ADMIT -> admit(claim, reply);
            case ATTACH -> attach(claim.requestId(), reply);
            case REFUSED_BEFORE, DRAINING -> reply.accept(Executed.NO);
            case EXECUTOR_LOST, GRANT_EXPIRED -> reply.accept(Executed.UNKNOWN);
        }
    }

    private RunAdmission.Arrival arrival(RunClaim claim) {
        return new RunAdmission.Arrival(
                claim.requestId(),
                mutant == Mutant.NO_TOMBSTONE ? nextLocalAttempt++ : claim.attempt(),
                false,
                mutant == Mutant.NO_INCARNATION ? incarnation : claim.incarnation(),
                mutant == Mutant.NO_GRANT_LIFE ? timeMs() : claim.executorTimeMs());
    }

    private void admit(RunClaim claim, Consumer<Executed> reply) {
        String id = claim.requestId();
        fences.recordAdmitted(SlotClaimStore.slotOf(id), claim);
        if (fault.includes(Fault.REFUSALS) && events.nextBoolean(REFUSAL_PROBABILITY)) {
            ledger.refuse(id, claim.attempt(), events.nowNanos());
            reply.accept(Executed.NO);
            return;
        }
        replies.put(id, reply);
        post(events.nextInt(MAX_QUEUE_MS), () -> start(id));
    }

    private void start(String id) {
        if (!ledger.start(id, events.nowNanos())) {
            return;
        }
        audit.onRun(id);
        post(events.nextInt(MAX_RUN_MS), () -> finish(id));
    }

    private void finish(String id) {
        ledger.finish(id, events.nowNanos());
        finished.put(id, true);
        replies.get(id).accept(Executed.YES);
    }

    private void attach(String id, Consumer<Executed> reply) {
        Consumer<Executed> replaced = replies.put(id, reply);
        if (finished.containsKey(id)) {
            reply.accept(Executed.YES);
        } else if (replaced != null) {
            replaced.accept(Executed.UNKNOWN);
        }
    }
}
