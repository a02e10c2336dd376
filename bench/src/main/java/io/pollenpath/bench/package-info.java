/**
 * Programs of the bench: the quickstart, the proofs and the measurements, with real and simulated
 * processes.
 */
package io.pollenpath.bench;
