/**
 * Holds what an entry that forwards straight to backend servers knows: routes, accounts, servers.
 */
package io.pollenpath.state.serving;
