/** Carries the calls between the agents of a rank group, and runs the agent and its leader. */
package io.pollenpath.transport.group;
