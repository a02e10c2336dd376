/**
 * Decision logic of the load balancer. Its classes receive events and the current time as
 * arguments; they perform no I/O, read no clock and start no threads.
 */
package io.pollenpath.coordination;
