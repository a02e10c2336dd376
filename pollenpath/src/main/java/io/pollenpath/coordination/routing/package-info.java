/** Chooses the backend server for each attempt of a request. */
package io.pollenpath.coordination.routing;
