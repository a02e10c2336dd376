/** Provides the state, commands and expert maps of rank groups. */
package io.pollenpath.state.group;
