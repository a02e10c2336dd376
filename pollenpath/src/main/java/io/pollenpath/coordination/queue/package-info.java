/** Orders and limits the requests that wait at a side process. */
package io.pollenpath.coordination.queue;
