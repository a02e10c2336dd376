package io.pollenpath.transport.entry;

import io.pollenpath.coordination.ClaimAction;
import java.util.Objects;

/** Reports that no claim for a run was got; the message names the remedy. */
public final class RunRefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ClaimAction.Refusal refusal;

    /**
     * Creates the exception.
     *
     * @param refusal the reason, not null
     */
    public RunRefusedException(ClaimAction.Refusal refusal) {
        super(detail(refusal));
        this.refusal = Objects.requireNonNull(refusal, "refusal");
    }

    private static String detail(ClaimAction.Refusal refusal) {
        return switch (refusal) {
            case STORE_UNAVAILABLE ->
                    "whether the request ran cannot be read now; send it again with the same key";
            case KEY_REUSED -> "the key was used with another request; use a new key";
            case NO_SERVER -> "no server takes work now; come back";
            case CLAIMED_AGAIN -> "the request was sent again elsewhere; ask there";
        };
    }

    /**
     * Returns the reason.
     *
     * @return the reason
     */
    public ClaimAction.Refusal refusal() {
        return refusal;
    }
}
