/** Provides the agent of a rank, the leader of a rank group, and the calls between agents. */
package io.pollenpath.transport.group;
