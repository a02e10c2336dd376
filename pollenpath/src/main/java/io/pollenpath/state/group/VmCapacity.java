package io.pollenpath.state.group;

/**
 * Holds what a VM gives to the processes on it.
 *
 * @param cores the share of a core, above 0
 * @param linkBytesPerSecond the bytes a second that its network link carries one way, above 0
 */
public record VmCapacity(double cores, double linkBytesPerSecond) {

    /** Checks the components. */
    public VmCapacity {
        if (!(cores > 0 && linkBytesPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "a VM has no processor or no network; declare figures above 0");
        }
    }
}
