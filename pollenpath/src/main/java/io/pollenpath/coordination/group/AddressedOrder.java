package io.pollenpath.coordination.group;

import io.pollenpath.state.group.RankOrder;
import java.util.Objects;

/**
 * Holds an order and the rank that it is for.
 *
 * @param rank the rank
 * @param order the order, not null
 */
public record AddressedOrder(int rank, RankOrder order) {

    /** Checks the components. */
    public AddressedOrder {
        Objects.requireNonNull(order, "order");
    }
}
