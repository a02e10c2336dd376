package io.pollenpath.transport.group;

import java.util.concurrent.CompletableFuture;

/** Claims leadership of rank groups in a store that all agents share. */
public interface LeaderLease {

    /**
     * Claims leadership of a group, replacing the present leader if there is one.
     *
     * @param group the name of the group, not null
     * @param holder identifies the claimant; differs between incarnations of a process, not null
     * @return the fencing token, higher than any before; the future fails if another claim
     *     succeeded first or the outcome is not known
     */
    CompletableFuture<Long> claim(String group, String holder);
}
