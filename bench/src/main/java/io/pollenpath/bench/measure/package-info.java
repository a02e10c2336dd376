/**
 * Measurements of the balancing policies and of the real processes against baselines and targets.
 */
package io.pollenpath.bench.measure;
