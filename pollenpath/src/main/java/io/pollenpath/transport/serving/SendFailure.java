package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.SendOutcome;
import java.util.Objects;

/**
 * Why an answer that has ended can't be passed on.
 *
 * @param outcome what is known of the request, not null
 * @param cause the reason for the log, not null
 */
record SendFailure(SendOutcome outcome, String cause) {

    SendFailure {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(cause, "cause");
    }
}
