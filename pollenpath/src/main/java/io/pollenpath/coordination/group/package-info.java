/**
 * Decides how a rank group changes its expert map so that all ranks use the same map in each step.
 */
package io.pollenpath.coordination.group;
