/** Forwards callers' requests directly to backend servers over pooled HTTP/1.1 connections. */
package io.pollenpath.transport.serving;
