package io.pollenpath.bench.prove.runs;

import io.pollenpath.coordination.ClaimProtocol;
import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.coordination.ClaimStep;
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

    private final Network network;
    private final ClaimStore store;
    private final Node entry;
    private final String requestId;
    private final Mutant mutant;
    private final Runnable onDeciding;
    private final Consumer<Executed> onAnswer;
    private RunClaim claim;
    private int attempts;
    private boolean answered;

    Call(
            Network network,
            ClaimStore store,
            Node entry,
            String requestId,
            Mutant mutant,
            Runnable onDeciding,
            Consumer<Executed> onAnswer) {
        this.network = network;
        this.store = store;
        this.entry = entry;
        this.requestId = requestId;
        this.mutant = mutant;
        this.onDeciding = onDeciding;
        this.onAnswer = onAnswer;
    }

    void start() {
        entry.post(1, this::claimNext);
        entry.post(DEADLINE_MS, () -> answer(Executed.UNKNOWN));
    }

    private void claimNext() {
        attempts++;
        RunClaim candidate = network.candidate(entry, requestId);
        ClaimProtocol protocol = ClaimProtocol.claim(candidate.contentDigest(), candidate, claim);
        follow(protocol, protocol.start(), this::send, Call::toExecuted);
    }

    private void follow(
            ClaimProtocol protocol,
            ClaimStep step,
            Consumer<RunClaim> granted,
            Function<ClaimStep.Refusal, Executed> refused) {
        switch (step.type()) {
            case GRANTED -> granted.accept(step.claim());
            case REFUSED -> answer(refused.apply(step.refusal()));
            case READ ->
                    store.read(
                            entry,
                            requestId,
                            new Answer(
                                    found ->
                                            follow(
                                                    protocol,
                                                    found == null
                                                            ? protocol.onMissing()
                                                            : protocol.onRead(found),
                                                    granted,
                                                    refused),
                                    failure ->
                                            follow(
                                                    protocol,
                                                    protocol.onReadFailed(),
                                                    granted,
                                                    refused)));
            case CREATE, UPDATE ->
                    store.write(
                            entry,
                            step.claim(),
                            new Answer(
                                    written ->
                                            follow(
                                                    protocol,
                                                    protocol.onWritten(written),
                                                    granted,
                                                    refused),
                                    failure ->
                                            follow(
                                                    protocol,
                                                    protocol.onWriteFailed(failure),
                                                    granted,
                                                    refused)));
        }
    }

    private record Answer(Consumer<RunClaim> claim, Consumer<WriteFailure> failure)
            implements ClaimStore.Answer {
        @Override
        public void onClaim(RunClaim value) {
            claim.accept(value);
        }

        @Override
        public void onFailure(WriteFailure value) {
            failure.accept(value);
        }
    }

    private static Executed toExecuted(ClaimStep.Refusal refusal) {
        boolean notRun = refusal == ClaimStep.Refusal.NO_SERVER;
        return notRun ? Executed.NO : Executed.UNKNOWN;
    }

    private void send(RunClaim granted) {
        if (answered) {
            return;
        }
        claim = granted;
        int attempt = attempts;
        network.submit(
                entry,
                granted,
                executed -> {
                    if (attempt == attempts) {
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
        } else if (attempts < MAX_ATTEMPTS) {
            claimNext();
        } else if (mutant == Mutant.NO_RELEASE) {
            onDeciding.run();
            answer(Executed.NO);
        } else {
            onDeciding.run();
            attempts++;
            ClaimProtocol protocol = ClaimProtocol.release(claim);
            follow(
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
