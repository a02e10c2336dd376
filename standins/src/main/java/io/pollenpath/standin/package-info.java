/**
 * Stand-ins for external systems, used by the quickstart, the tests and the benchmarks; not part of
 * the release.
 */
package io.pollenpath.standin;
