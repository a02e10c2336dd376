/**
 * Checks the guarantees of the system by fault injection: in seeded simulations, with components in
 * one process, and with real processes.
 */
package io.pollenpath.bench.prove;
