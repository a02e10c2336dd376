package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.TrialClaim;
import java.util.concurrent.CompletableFuture;

/** The other entries, which agree to trials of blocked requests and keep count of them. */
interface TrialVoters {

    /** No other entries: this one decides alone. */
    TrialVoters NONE =
            new TrialVoters() {
                @Override
                public CompletableFuture<Boolean> ask(TrialClaim claim) {
                    return CompletableFuture.completedFuture(true);
                }

                @Override
                public CompletableFuture<Boolean> tell() {
                    return CompletableFuture.completedFuture(true);
                }
            };

    /**
     * Asks all other entries.
     *
     * @param claim the trial, which this entry has voted for itself
     * @return whether a majority of all entries agrees; completes on any thread
     */
    CompletableFuture<Boolean> ask(TrialClaim claim);

    /**
     * Tells all other entries what this one knows, and hears what they know.
     *
     * @return whether a majority of all entries knows it; completes on the event loop
     */
    CompletableFuture<Boolean> tell();
}
