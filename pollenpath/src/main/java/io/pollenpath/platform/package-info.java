/**
 * Translates between the platform on which deployments run and the product: settings file, store,
 * server entries, manifest, headers and statuses. It decides nothing, and nothing outside it uses
 * it; the command line finds its roles by {@link java.util.ServiceLoader}.
 */
package io.pollenpath.platform;
