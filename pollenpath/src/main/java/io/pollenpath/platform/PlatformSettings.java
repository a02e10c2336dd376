package io.pollenpath.platform;

import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.transport.HttpAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of one process, read from its settings file and named in the product's terms.
 *
 * @param node the name of the VM
 * @param zone the availability zone of the VM
 * @param ip the IP address of the VM
 * @param callerAddress where callers connect, the platform's {@code Listen.Front}; empty on VMs
 *     that serve no callers
 * @param readinessAddress where the platform probes readiness, its {@code Listen.Ready}; empty if
 *     it does not probe
 * @param firstInternalPort the first port of the range for internal use by the product
 * @param store the address of the platform's store
 * @param storeHistoryMs how long the store keeps its history of changes, in milliseconds
 * @param engineAddress the address of the engine on the same VM; empty on VMs without one
 * @param engineService the service of that engine; empty on VMs without one
 * @param capacity the processor and network capacity of the VM
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
        long storeHistoryMs,
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

    /**
     * Returns how long a watch of objects that rarely change waits for a change. It ends well
     * within the store's history; the store would refuse the next watch from the same revision
     * otherwise.
     *
     * @return the time, in milliseconds
     */
    long quietWatchMs() {
        return storeHistoryMs / 2;
    }
}
