package io.pollenpath.state.serving;

/**
 * Describes the experts of a rank group.
 *
 * @param layers the sets of layers that are placed apart, at least 1
 * @param experts the experts of each set, at least 1
 * @param slotsPerRank the experts of each set that one rank can hold, at least 1
 * @param maxNewPerChange the experts of each set that may be new to a rank in one change
 * @param expertShare the part of the work for tokens that experts do, 0 to 1
 */
public record GroupShape(
        int layers, int experts, int slotsPerRank, int maxNewPerChange, double expertShare) {

    /** Checks the components. */
    public GroupShape {
        if (layers < 1 || experts < 1 || slotsPerRank < 1 || maxNewPerChange < 0) {
            throw new IllegalArgumentException(
                    "the shape of a rank group has a figure of 0; declare all figures above 0");
        }
    }
}
