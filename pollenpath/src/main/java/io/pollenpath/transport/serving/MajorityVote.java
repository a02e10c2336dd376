package io.pollenpath.transport.serving;

import java.util.concurrent.CompletableFuture;

/** Counts votes until a majority of all entries agrees or none can any more. */
final class MajorityVote {

    private final CompletableFuture<Boolean> result = new CompletableFuture<>();
    private final int needed;
    private int agreed = 1;
    private int outstanding;

    /**
     * Starts a vote in which this entry agrees.
     *
     * @param others the number of other entries
     */
    MajorityVote(int others) {
        needed = (others + 1) / 2 + 1;
        outstanding = others;
        settle();
    }

    /** Records the vote of another entry; one that did not answer does not agree. */
    void onVote(boolean agrees) {
        outstanding--;
        agreed += agrees ? 1 : 0;
        settle();
    }

    private void settle() {
        if (agreed >= needed) {
            result.complete(true);
        } else if (agreed + outstanding < needed) {
            result.complete(false);
        }
    }

    /** Returns whether a majority agrees, once that is certain. */
    CompletableFuture<Boolean> result() {
        return result;
    }
}
