package io.pollenpath.transport.group;

/**
 * Asks an agent for the state of its engine.
 *
 * @param group the group of the sender
 * @param token the fencing token of the leader that asks; 0 if the sender leads nothing
 * @param withCounts whether to tell how often each expert was chosen since the question before
 * @param withExperts whether to tell which experts the rank holds
 */
public record RankQuestion(String group, long token, boolean withCounts, boolean withExperts) {}
