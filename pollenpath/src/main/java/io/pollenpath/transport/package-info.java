/** HTTP servers and clients and the peer links between processes, implemented with Netty. */
package io.pollenpath.transport;
