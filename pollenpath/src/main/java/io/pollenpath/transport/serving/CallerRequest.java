package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.pollenpath.coordination.serving.MemoryBudget;
import io.pollenpath.protocol.Problem;
import java.util.Objects;
import java.util.Optional;

/**
 * A request of a caller as it was read from its connection.
 *
 * @param head the method, path and headers, not null
 * @param body the bytes of the body; empty if the request is refused, not null
 * @param memory the memory of the body, to be closed once the request has its answer, not null
 * @param problem why the request must not be forwarded; empty if it was read in full and is within
 *     the limits, not null
 * @param endsConnection whether nothing can be read behind this request
 */
record CallerRequest(
        HttpRequest head,
        byte[] body,
        MemoryBudget.Share memory,
        Optional<Problem> problem,
        boolean endsConnection) {

    /** Checks the components. */
    CallerRequest {
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(memory, "memory");
        Objects.requireNonNull(problem, "problem");
    }

    /** Returns a request that was read in full. */
    static CallerRequest whole(HttpRequest head, byte[] body, MemoryBudget.Share memory) {
        return new CallerRequest(head, body, memory, Optional.empty(), false);
    }

    /** Returns a request that is answered with an error, in its turn. */
    static CallerRequest refused(
            HttpRequest head, MemoryBudget.Share memory, Problem problem, boolean endsConnection) {
        return new CallerRequest(head, new byte[0], memory, Optional.of(problem), endsConnection);
    }

    /** Returns whether the connection can serve another request after this one. */
    boolean isKeepAlive() {
        return !endsConnection && HttpUtil.isKeepAlive(head);
    }
}
