/** Decides which ranks host the experts of a rank group, and when moving them is worthwhile. */
package io.pollenpath.coordination.experts;
