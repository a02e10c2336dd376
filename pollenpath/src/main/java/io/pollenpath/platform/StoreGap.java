package io.pollenpath.platform;

import io.pollenpath.coordination.serving.StoreOutage;

/**
 * What happened to the store before the listener of a watch is notified.
 *
 * @param outage the latest outage of the store, of which the listener may have heard before
 * @param olderCopy whether the store has come back from an older copy since the listener was last
 *     notified, so that the objects may lack changes that were seen before
 */
record StoreGap(StoreOutage outage, boolean olderCopy) {}
