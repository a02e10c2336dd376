/** Stand-ins for the store and the engines of the platform, with faults that tests can inject. */
package io.pollenpath.standin.platform;
