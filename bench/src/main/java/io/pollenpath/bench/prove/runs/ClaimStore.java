package io.pollenpath.bench.prove.runs;

import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.state.RunClaim;

/**
 * Stores claims for entries and writes them conditionally. Results are delivered in the process of
 * the entry that made the call.
 */
interface ClaimStore {

    /** Receives the result of a store call, in the process of the entry that made the call. */
    interface Callback {

        /**
         * Receives the claim that was written or read.
         *
         * @param claim the claim; null if none is stored
         */
        void onClaim(RunClaim claim);

        /**
         * Receives the failure of the call.
         *
         * @param failure the failure; UNAVAILABLE for a failed read
         */
        void onFailure(WriteFailure failure);
    }

    /**
     * Creates the claim if none is stored, or replaces the stored claim if it has the same version.
     */
    void write(SimulatedProcess requester, RunClaim claim, Callback callback);

    /** Reads the claim of a request. */
    void read(SimulatedProcess requester, String requestId, Callback callback);

    /** Returns the number of writes requested from the platform's store. */
    long storeWrites();
}
