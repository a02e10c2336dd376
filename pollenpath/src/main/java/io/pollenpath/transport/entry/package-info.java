/** The entry role, which serves callers: identity, routing, retries and answer streaming. */
package io.pollenpath.transport.entry;
