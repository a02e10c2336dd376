/** Reconstructs the timeline of one request from the logs of all processes. */
package io.pollenpath.cli.explain;
