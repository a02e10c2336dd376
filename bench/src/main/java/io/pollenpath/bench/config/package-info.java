/** Simulation of many configuration agents with fake links and a fake configuration store. */
package io.pollenpath.bench.config;
