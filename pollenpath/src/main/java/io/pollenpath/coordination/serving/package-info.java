/** Decides how an entry places, queues, refuses and repeats requests that it forwards itself. */
package io.pollenpath.coordination.serving;
