/** Messages, typed errors, validation rules and the interfaces of external systems. */
package io.pollenpath.protocol;
