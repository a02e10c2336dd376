package io.pollenpath.bench.prove.runs;

import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.state.RunClaim;
import java.util.HashMap;
import java.util.Map;

/** The simulated platform store, with outages, lost responses and writes that take effect late. */
final class SimulatedStore implements ClaimStore {

    private static final int MAX_DELAY_MS = 8;
    private static final int MAX_LATE_WRITE_DELAY_MS = 3_000;
    private static final double LOST_RESPONSE_PROBABILITY = 0.4;

    private final EventQueue events;
    private final Fault fault;
    private final Mutant mutant;
    private final Map<String, RunClaim> claims = new HashMap<>();
    private long version;
    private long outageStartMs = Long.MAX_VALUE;
    private long outageEndMs = Long.MAX_VALUE;
    private long writes;

    SimulatedStore(EventQueue events, Fault fault, Mutant mutant) {
        this.events = events;
        this.fault = fault;
        this.mutant = mutant;
    }

    /** Makes the store unreachable from one time (inclusive) to another (exclusive). */
    void setOutage(long startMs, long endMs) {
        outageStartMs = startMs;
        outageEndMs = endMs;
    }

    boolean isDown() {
        return events.nowMs() >= outageStartMs && events.nowMs() < outageEndMs;
    }

    private boolean losesResponse() {
        return fault.includes(Fault.STORE_ANSWER_LOST)
                && events.nextBoolean(LOST_RESPONSE_PROBABILITY);
    }

    @Override
    public void write(SimulatedProcess requester, RunClaim claim, Callback callback) {
        writes++;
        if (isDown()) {
            WriteFailure failure =
                    events.nextBoolean(0.5)
                            ? WriteFailure.UNAVAILABLE
                            : WriteFailure.OUTCOME_UNKNOWN;
            requester.post(delayMs(), () -> callback.onFailure(failure));
        } else if (losesResponse()) {
            int writeDelayMs =
                    events.nextBoolean(0.5) ? delayMs() : events.nextInt(MAX_LATE_WRITE_DELAY_MS);
            events.schedule(writeDelayMs, () -> apply(claim));
            requester.post(delayMs(), () -> callback.onFailure(WriteFailure.OUTCOME_UNKNOWN));
        } else {
            events.schedule(delayMs(), () -> applyAndRespond(requester, claim, callback));
        }
    }

    private void applyAndRespond(SimulatedProcess requester, RunClaim claim, Callback callback) {
        RunClaim stored = apply(claim);
        requester.post(
                delayMs(),
                () -> {
                    if (stored == null) {
                        callback.onFailure(WriteFailure.CONFLICT);
                    } else {
                        callback.onClaim(stored);
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
    public void read(SimulatedProcess requester, String requestId, Callback callback) {
        if (isDown()) {
            requester.post(delayMs(), () -> callback.onFailure(WriteFailure.UNAVAILABLE));
            return;
        }
        events.schedule(
                delayMs(),
                () -> {
                    RunClaim current = claims.get(requestId);
                    requester.post(delayMs(), () -> callback.onClaim(current));
                });
    }

    private int delayMs() {
        return 1 + events.nextInt(MAX_DELAY_MS);
    }

    @Override
    public long storeWrites() {
        return writes;
    }
}
