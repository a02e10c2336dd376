/** The side role, which fronts one backend server: admission, dispatch and answer buffering. */
package io.pollenpath.transport.side;
