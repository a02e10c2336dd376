package io.pollenpath.transport.group;

import java.util.concurrent.CompletableFuture;

/** Keeps who leads a rank group, in a store that all agents share. */
public interface LeaderLease {

    /**
     * Claims the lead of a group from whoever has it.
     *
     * @param group the name of the group, not null
     * @param holder names this claim; differs between starts of a process, not null
     * @return the fencing token, higher than any before; fails if the claim was lost or the outcome
     *     is not known
     */
    CompletableFuture<Long> claim(String group, String holder);
}
