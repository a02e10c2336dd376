package io.pollenpath.platform;

/**
 * What happened to the store since the listener of a watch was last notified.
 *
 * @param outageMs how long the store was unreachable immediately before, in milliseconds; 0 if it
 *     was not
 * @param olderCopy whether the store has come back from an older copy, so that the objects may lack
 *     changes that were seen before
 */
record StoreGap(long outageMs, boolean olderCopy) {}
