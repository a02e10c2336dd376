/**
 * Simulates requests with idempotency keys under faults, with a simulated network and store, and
 * checks that each request runs at most once.
 */
package io.pollenpath.bench.prove.runs;
