package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.Route;

/** Decides whether a request is sent to another backend server after a failed attempt. */
public final class ResendPolicy {

    /** Minimum time left for another attempt, in milliseconds. */
    static final long MIN_TIME_LEFT_MS = 20;

    private ResendPolicy() {}

    /** How to continue with the request. */
    public enum Decision {
        /** Send it to another server if the retry budget allows it. */
        RESEND,
        /** Answer that the request did not run. */
        REFUSE,
        /** Answer that the request failed and may have run. */
        FAIL
    }

    /**
     * Decides after one attempt has ended without an answer that can be forwarded.
     *
     * @param route the route of the request, not null
     * @param outcome the outcome of that attempt, not null
     * @param sends the number of times that the request has been sent, 0 if no attempt connected
     * @param mayHaveRun whether the request may have run in this or an earlier attempt
     * @param timeLeftMs the time until the request's deadline, in milliseconds
     * @return the decision
     */
    public static Decision decide(
            Route route, SendOutcome outcome, int sends, boolean mayHaveRun, long timeLeftMs) {
        boolean safe = (!mayHaveRun || route.mayRunAgain()) && outcome != SendOutcome.SPOILT;
        boolean attemptsLeft = outcome == SendOutcome.NOT_SENT || sends < route.maxAttempts();
        if (safe && attemptsLeft && timeLeftMs >= MIN_TIME_LEFT_MS) {
            return Decision.RESEND;
        }
        return mayHaveRun ? Decision.FAIL : Decision.REFUSE;
    }
}
