/** Provides small helpers that every layer may use: log lines, digests, JSON and pauses. */
package io.pollenpath.util;
