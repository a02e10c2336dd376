package io.pollenpath.platform;

import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.transport.HttpAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds what the settings file of a process says, under the product's names.
 *
 * @param node the name of the VM
 * @param zone the availability zone of the VM
 * @param ip the IP number of the VM
 * @param callerAddress where callers connect; empty on VMs that serve none
 * @param readinessAddress where the platform asks for readiness; empty where it does not ask
 * @param firstInternalPort the first port for the system's own use
 * @param store the address of the platform's store
 * @param engineAddress the engine on the same VM; empty on VMs without one
 * @param engineService the service of that engine; empty on VMs without one
 * @param capacity what the VM gives to the process
 * @param bounds the time limits and budgets of the deployment
 */
record PlatformSettings(
        String node,
        String zone,
        String ip,
        Optional<HttpAddress> callerAddress,
        Optional<HttpAddress> readinessAddress,
        int firstInternalPort,
        HttpAddress store,
        Optional<HttpAddress> engineAddress,
        Optional<String> engineService,
        VmCapacity capacity,
        DeploymentBounds bounds) {

    PlatformSettings {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(bounds, "bounds");
    }
}
