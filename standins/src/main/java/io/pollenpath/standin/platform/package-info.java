/** Stand-ins for the store and the engines of the platform, with the faults that they can show. */
package io.pollenpath.standin.platform;
