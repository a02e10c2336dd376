/** Decides how a rank group changes its expert map so that no step ever mixes two maps. */
package io.pollenpath.coordination.group;
