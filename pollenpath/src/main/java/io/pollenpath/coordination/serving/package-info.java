/**
 * Decides how an entry routes, queues, refuses and retries the requests that it forwards itself.
 */
package io.pollenpath.coordination.serving;
