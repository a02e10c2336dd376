package io.pollenpath.transport.group;

/**
 * A query for the state of the engine of an agent.
 *
 * @param group the group of the sender
 * @param token the fencing token of the leader that sends the query; 0 if the sender does not lead
 *     a group
 * @param withCounts whether to report how often each expert was selected since the previous query
 * @param withExperts whether to report the experts that the rank holds
 */
public record RankStatusQuery(String group, long token, boolean withCounts, boolean withExperts) {}
