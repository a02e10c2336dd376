/**
 * Adapts the product to the platform that deployments run on: translates the platform's settings
 * file, object store, server registrations, manifest, headers and HTTP statuses. The package makes
 * no load-balancing decisions, and no other package depends on it; the command line finds its roles
 * by {@link java.util.ServiceLoader}.
 */
package io.pollenpath.platform;
