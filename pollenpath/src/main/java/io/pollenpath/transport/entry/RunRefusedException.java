package io.pollenpath.transport.entry;

import io.pollenpath.coordination.ClaimAction;
import java.util.Objects;

/** Thrown when the run of a request could not be claimed; the message says what to do. */
public final class RunRefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ClaimAction.Refusal refusal;

    /**
     * Creates the exception.
     *
     * @param refusal why the claim was refused, not null
     */
    public RunRefusedException(ClaimAction.Refusal refusal) {
        super(detail(refusal));
        this.refusal = Objects.requireNonNull(refusal, "refusal");
    }

    private static String detail(ClaimAction.Refusal refusal) {
        return switch (refusal) {
            case STORE_UNAVAILABLE ->
                    "it cannot be read now whether the request ran; retry with the same key";
            case KEY_REUSED -> "the key was used with another request; use a new key";
            case NO_SERVER -> "no server accepts work now; retry later";
            case CLAIMED_AGAIN ->
                    "the request was sent again through another entry; read its answer there";
        };
    }

    /**
     * Returns why the claim was refused.
     *
     * @return the reason
     */
    public ClaimAction.Refusal refusal() {
        return refusal;
    }
}
