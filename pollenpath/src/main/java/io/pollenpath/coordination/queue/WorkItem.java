package io.pollenpath.coordination.queue;

import io.pollenpath.state.PriorityClass;
import java.util.Objects;

/**
 * One request in the queue of a side process.
 *
 * @param requestId the id of the request, not null
 * @param customer the customer, not null
 * @param priority the priority class, not null
 * @param share the customer's weight, positive
 * @param costTokens the estimated work, in tokens
 * @param deadlineNanos the deadline of the complete answer, on this process's clock, in nanoseconds
 */
public record WorkItem(
        String requestId,
        String customer,
        PriorityClass priority,
        double share,
        int costTokens,
        long deadlineNanos) {

    /** Checks the components. */
    public WorkItem {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(priority, "priority");
        if (!(share > 0)) {
            throw new IllegalArgumentException("share is " + share + "; set a value above 0");
        }
    }
}
