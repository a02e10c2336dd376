package io.pollenpath.bench.prove.runs;

import io.pollenpath.coordination.ClaimAction;
import io.pollenpath.coordination.ClaimProtocol;
import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.state.Executed;
import io.pollenpath.state.RunClaim;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A call of a request with an idempotency key at one entry. The entry claims the request, submits
 * it to the executor that the claim names and answers the caller.
 */
final class Call {

    private static final int MAX_ATTEMPTS = 3;
    private static final long DEADLINE_MS = 1_000;

    private final SimulatedNetwork network;
    private final ClaimStore claimStore;
    private final SimulatedProcess entry;
    private final String requestId;
    private final Mutant mutant;
    private final Runnable onNotRunDecided;
    private final Consumer<Executed> onAnswer;
    private RunClaim claim;
    private int attemptCount;
    private boolean answered;

    Call(
            SimulatedNetwork network,
            ClaimStore claimStore,
            SimulatedProcess entry,
            String requestId,
            Mutant mutant,
            Runnable onNotRunDecided,
            Consumer<Executed> onAnswer) {
        this.network = network;
        this.claimStore = claimStore;
        this.entry = entry;
        this.requestId = requestId;
        this.mutant = mutant;
        this.onNotRunDecided = onNotRunDecided;
        this.onAnswer = onAnswer;
    }

    void start() {
        entry.post(1, this::claimNextAttempt);
        entry.post(DEADLINE_MS, () -> answer(Executed.UNKNOWN));
    }

    private void claimNextAttempt() {
        attemptCount++;
        RunClaim candidate = network.candidateClaim(entry, requestId);
        ClaimProtocol protocol = ClaimProtocol.claim(candidate.contentDigest(), candidate, claim);
        applyStep(protocol, protocol.start(), this::send, Call::toExecuted);
    }

    private void applyStep(
            ClaimProtocol protocol,
            ClaimAction step,
            Consumer<RunClaim> onGranted,
            Function<ClaimAction.Refusal, Executed> onRefused) {
        switch (step.type()) {
            case GRANTED -> onGranted.accept(step.claim());
            case REFUSED -> answer(onRefused.apply(step.refusal()));
            case READ ->
                    claimStore.read(
                            entry,
                            requestId,
                            new StoreCallback(
                                    found ->
                                            applyStep(
                                                    protocol,
                                                    found == null
                                                            ? protocol.onMissing()
                                                            : protocol.onRead(found),
                                                    onGranted,
                                                    onRefused),
                                    failure ->
                                            applyStep(
                                                    protocol,
                                                    protocol.onReadFailed(),
                                                    onGranted,
                                                    onRefused)));
            case CREATE, UPDATE ->
                    claimStore.write(
                            entry,
                            step.claim(),
                            new StoreCallback(
                                    written ->
                                            applyStep(
                                                    protocol,
                                                    protocol.onWritten(written),
                                                    onGranted,
                                                    onRefused),
                                    failure ->
                                            applyStep(
                                                    protocol,
                                                    protocol.onWriteFailed(failure),
                                                    onGranted,
                                                    onRefused)));
        }
    }

    private record StoreCallback(
            Consumer<RunClaim> claimHandler, Consumer<WriteFailure> failureHandler)
            implements ClaimStore.Callback {
        @Override
        public void onClaim(RunClaim value) {
            claimHandler.accept(value);
        }

        @Override
        public void onFailure(WriteFailure value) {
            failureHandler.accept(value);
        }
    }

    private static Executed toExecuted(ClaimAction.Refusal refusal) {
        boolean notRun = refusal == ClaimAction.Refusal.NO_SERVER;
        return notRun ? Executed.NO : Executed.UNKNOWN;
    }

    private void send(RunClaim granted) {
        if (answered) {
            return;
        }
        claim = granted;
        int attempt = attemptCount;
        network.submit(
                entry,
                granted,
                executed -> {
                    if (attempt == attemptCount) {
                        onReply(executed);
                    }
                });
    }

    private void onReply(Executed executed) {
        if (answered) {
            return;
        }
        if (executed != Executed.NO) {
            answer(executed);
        } else if (attemptCount < MAX_ATTEMPTS) {
            claimNextAttempt();
        } else if (mutant == Mutant.NO_RELEASE) {
            onNotRunDecided.run();
            answer(Executed.NO);
        } else {
            onNotRunDecided.run();
            attemptCount++;
            ClaimProtocol protocol = ClaimProtocol.release(claim);
            applyStep(
                    protocol,
                    protocol.start(),
                    released -> answer(Executed.NO),
                    refusal -> Executed.UNKNOWN);
        }
    }

    private void answer(Executed executed) {
        if (!answered) {
            answered = true;
            onAnswer.accept(executed);
        }
    }
}
