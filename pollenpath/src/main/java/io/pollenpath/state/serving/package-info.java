/**
 * Provides the configuration and view of an entry that forwards directly to backend servers:
 * routes, accounts, servers.
 */
package io.pollenpath.state.serving;
