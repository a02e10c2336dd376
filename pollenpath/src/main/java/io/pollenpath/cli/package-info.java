/** Parses the command line, runs the operator commands, and starts and stops the roles. */
package io.pollenpath.cli;
