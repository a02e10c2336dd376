package io.pollenpath.transport.group;

import java.util.concurrent.CompletableFuture;

/** Claims leadership of rank groups in a store that all agents share. */
public interface LeaderLease {

    /**
     * Reads the fencing token of the present leader of a group.
     *
     * @param group the name of the group, not null
     * @return the token; 0 if the group has had no leader; the future fails if the store does not
     *     answer
     */
    CompletableFuture<Long> currentToken(String group);

    /**
     * Claims leadership of a group, replacing the leader with the given token.
     *
     * @param group the name of the group, not null
     * @param holder identifies the claimant; differs between incarnations of a process, not null
     * @param replacedToken the token that {@link #currentToken} returned before the claimant found
     *     that leader silent
     * @return the fencing token, higher than any before; the future fails if another agent has
     *     claimed leadership since then or the outcome is not known
     */
    CompletableFuture<Long> claim(String group, String holder, long replacedToken);
}
