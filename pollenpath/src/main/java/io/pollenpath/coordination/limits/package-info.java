/** Enforces each customer's rate, burst and concurrency limits, divided among the entries. */
package io.pollenpath.coordination.limits;
