/** Decides whether an attempt is retried and how long a refused caller waits before it retries. */
package io.pollenpath.coordination.retry;
