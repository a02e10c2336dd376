/** Provides the immutable data types of configuration, claims and requests. */
package io.pollenpath.state;
