package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.TrialClaim;
import java.util.concurrent.CompletableFuture;

/** Asks the other entries whether this one may run a trial of a blocked request. */
interface TrialVoters {

    /**
     * Asks all other entries.
     *
     * @param claim the trial, which this entry has voted for itself
     * @return whether a majority of all entries agrees; completes on any thread
     */
    CompletableFuture<Boolean> ask(TrialClaim claim);
}
