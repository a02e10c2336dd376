package io.pollenpath.state.group;

/**
 * The resources that a VM gives to the processes on it.
 *
 * @param cores the processor cores, possibly a fraction of one, above 0
 * @param linkBytesPerSecond the bandwidth of its network link in one direction, in bytes per
 *     second, above 0
 */
public record VmCapacity(double cores, double linkBytesPerSecond) {

    /** Checks the components. */
    public VmCapacity {
        if (!(cores > 0 && linkBytesPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "a VM has no processor cores or no network bandwidth; declare figures above 0");
        }
    }
}
