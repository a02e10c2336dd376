package io.pollenpath.coordination.group;

import io.pollenpath.state.group.RankOrder;
import java.util.Objects;

/**
 * A command for an engine and the rank that must carry it out.
 *
 * @param rank the rank
 * @param order the command, not null
 */
public record AddressedOrder(int rank, RankOrder order) {

    /** Checks the components. */
    public AddressedOrder {
        Objects.requireNonNull(order, "order");
    }
}
