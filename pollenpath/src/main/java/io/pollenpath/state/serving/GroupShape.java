package io.pollenpath.state.serving;

/**
 * The numbers of layer sets, experts and expert slots of a rank group.
 *
 * @param layers the number of layer sets, each with an expert placement of its own, at least 1
 * @param experts the number of experts of each layer set, at least 1
 * @param slotsPerRank the number of experts of each layer set that one rank can hold, at least 1
 * @param maxNewPerChange the maximum number of experts of each layer set that a rank may fetch in
 *     one map change, at least 0
 * @param expertFraction the fraction of the work per token that is done by experts, 0 to 1
 * @param fetchMs the time in which a rank fetches one expert, in milliseconds, at least 0
 */
public record GroupShape(
        int layers,
        int experts,
        int slotsPerRank,
        int maxNewPerChange,
        double expertFraction,
        double fetchMs) {

    /** Checks the components. */
    public GroupShape {
        if (layers < 1 || experts < 1 || slotsPerRank < 1 || maxNewPerChange < 0) {
            throw new IllegalArgumentException(
                    "the layer sets, experts and slots per rank of a group must be at"
                            + " least 1, and the new experts per change at least 0");
        }
        if (!(fetchMs >= 0)) {
            throw new IllegalArgumentException(
                    "the time to fetch an expert is "
                            + fetchMs
                            + " ms; declare the size of an expert and the bandwidth of the link");
        }
    }
}
