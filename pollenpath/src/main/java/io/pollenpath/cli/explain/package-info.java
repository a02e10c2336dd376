/** Tells the story of one request from the log lines of all processes. */
package io.pollenpath.cli.explain;
