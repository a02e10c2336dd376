package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.Route;

/** Decides whether a request goes to another backend server after a send failed. */
public final class ResendPolicy {

    /** The least time left that makes another send worthwhile, in milliseconds. */
    static final long MIN_TIME_LEFT_MS = 20;

    private ResendPolicy() {}

    /** What to do with the request. */
    public enum Decision {
        /** Send it to another server if the retry budget allows. */
        RESEND,
        /** Tell the caller that it did not run. */
        REFUSE,
        /** Tell the caller that it failed and may have run. */
        FAIL
    }

    /**
     * Decides after one send has ended without an answer to pass on.
     *
     * @param route the route of the request, not null
     * @param outcome how the send ended, not null
     * @param sends how often the request has been sent so far, at least 1
     * @param mayHaveRun whether it may have run in this or an earlier send
     * @param timeLeftMs the time until the caller's or the route's limit, in milliseconds
     * @return the decision
     */
    public static Decision decide(
            Route route, SendOutcome outcome, int sends, boolean mayHaveRun, long timeLeftMs) {
        boolean safe = !mayHaveRun || route.mayRunAgain();
        boolean attemptsLeft = outcome == SendOutcome.NOT_SENT || sends < route.maxAttempts();
        if (safe && attemptsLeft && timeLeftMs >= MIN_TIME_LEFT_MS) {
            return Decision.RESEND;
        }
        return mayHaveRun ? Decision.FAIL : Decision.REFUSE;
    }
}
