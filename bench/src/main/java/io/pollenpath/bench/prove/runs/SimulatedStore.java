package io.pollenpath.bench.prove.runs;

import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.state.RunClaim;
import java.util.HashMap;
import java.util.Map;

/** The simulated platform store, with outages, lost responses and writes that take effect late. */
final class SimulatedStore implements ClaimStore {

    private static final int MAX_DELAY_MS = 8;
    private static final int MAX_LATE_MS = 3_000;
    private static final double LOST_CHANCE = 0.4;

    private final EventList events;
    private final Fault fault;
    private final Mutant mutant;
    private final Map<String, RunClaim> claims = new HashMap<>();
    private long version;
    private long downFromMs = Long.MAX_VALUE;
    private long downUntilMs = Long.MAX_VALUE;
    private long writes;

    SimulatedStore(EventList events, Fault fault, Mutant mutant) {
        this.events = events;
        this.fault = fault;
        this.mutant = mutant;
    }

    /** Makes the store unreachable from one time (inclusive) to another (exclusive). */
    void goDown(long fromMs, long untilMs) {
        downFromMs = fromMs;
        downUntilMs = untilMs;
    }

    boolean isDown() {
        return events.nowMs() >= downFromMs && events.nowMs() < downUntilMs;
    }

    private boolean losesAnswer() {
        return fault.includes(Fault.STORE_ANSWER_LOST) && events.chance(LOST_CHANCE);
    }

    @Override
    public void write(Node requester, RunClaim claim, Answer answer) {
        writes++;
        if (isDown()) {
            WriteFailure failure =
                    events.chance(0.5) ? WriteFailure.UNAVAILABLE : WriteFailure.OUTCOME_UNKNOWN;
            requester.post(delayMs(), () -> answer.onFailure(failure));
        } else if (losesAnswer()) {
            int lateMs = events.chance(0.5) ? delayMs() : events.below(MAX_LATE_MS);
            events.after(lateMs, () -> apply(claim));
            requester.post(delayMs(), () -> answer.onFailure(WriteFailure.OUTCOME_UNKNOWN));
        } else {
            events.after(delayMs(), () -> applyAndAnswer(requester, claim, answer));
        }
    }

    private void applyAndAnswer(Node requester, RunClaim claim, Answer answer) {
        RunClaim stored = apply(claim);
        requester.post(
                delayMs(),
                () -> {
                    if (stored == null) {
                        answer.onFailure(WriteFailure.CONFLICT);
                    } else {
                        answer.onClaim(stored);
                    }
                });
    }

    private RunClaim apply(RunClaim claim) {
        RunClaim current = claims.get(claim.requestId());
        long currentVersion = current == null ? 0 : current.version();
        if (currentVersion != claim.version() && mutant != Mutant.NO_FENCE) {
            return null;
        }
        RunClaim stored = claim.withVersion(++version);
        claims.put(claim.requestId(), stored);
        return stored;
    }

    @Override
    public void read(Node requester, String requestId, Answer answer) {
        if (isDown()) {
            requester.post(delayMs(), () -> answer.onFailure(WriteFailure.UNAVAILABLE));
            return;
        }
        events.after(
                delayMs(),
                () -> {
                    RunClaim current = claims.get(requestId);
                    requester.post(delayMs(), () -> answer.onClaim(current));
                });
    }

    private int delayMs() {
        return 1 + events.below(MAX_DELAY_MS);
    }

    @Override
    public long storeWrites() {
        return writes;
    }
}
