/** Holds what is known of a rank group: the state of each rank and the expert maps. */
package io.pollenpath.state.group;
