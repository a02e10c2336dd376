package io.pollenpath.platform;

import io.pollenpath.coordination.serving.StoreOutage;
import io.pollenpath.util.LogLine;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Knows from all calls of this process whether the store answers. A call that waits for a change
 * tells nothing while it waits, so no time counts as an outage before a call has failed.
 * Thread-safe.
 */
final class StoreContact {

    private static final Logger LOG = LoggerFactory.getLogger(StoreContact.class);

    /**
     * How long the store must answer for an outage to be over, in nanoseconds. In less time servers
     * may not renew their registrations.
     */
    private static final long MIN_CONTACT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private boolean lost;
    private long lostNanos;
    private long lastAnswerNanos;
    private long awayNanos;
    private StoreOutage latest = StoreOutage.NONE;

    /**
     * Creates the state of a store that has not been called.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    StoreContact(long nowNanos) {
        lastAnswerNanos = nowNanos;
    }

    /**
     * Records an answer.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    synchronized void onAnswer(long nowNanos) {
        lastAnswerNanos = nowNanos;
        if (!lost) {
            return;
        }
        lost = false;
        long gapNanos = nowNanos - lostNanos;
        awayNanos += gapNanos;
        latest = new StoreOutage(TimeUnit.NANOSECONDS.toMillis(awayNanos), nowNanos);
        LOG.info(
                "{}",
                LogLine.event("store_regained")
                        .with("away_ms", TimeUnit.NANOSECONDS.toMillis(gapNanos))
                        .with("outage_ms", latest.awayMs()));
    }

    /**
     * Records a call that has failed. A call that got no answer in time shows that the store may
     * have been away since the call began; any other failure shows no more than the moment.
     *
     * @param begunNanos when the call began, in nanoseconds
     * @param failure why it failed, not null
     * @param nowNanos the current time, in nanoseconds
     */
    synchronized void onFailure(long begunNanos, Throwable failure, long nowNanos) {
        if (lost) {
            return;
        }
        lost = true;
        Throwable cause = StoreException.causeOf(failure);
        long sinceNanos = cause instanceof TimeoutException ? begunNanos : nowNanos;
        lostNanos = sinceNanos - lastAnswerNanos > 0 ? sinceNanos : lastAnswerNanos;
        awayNanos = isOver() ? 0 : awayNanos;
        LOG.warn(
                "{}",
                LogLine.event("store_lost")
                        .with("for_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - lostNanos))
                        .with("cause", cause));
    }

    /** Returns whether the outage before this one is over. */
    private boolean isOver() {
        return lostNanos - latest.endNanos() >= MIN_CONTACT_NANOS;
    }

    /** Returns the latest outage that has ended. */
    synchronized StoreOutage latestOutage() {
        return latest;
    }
}
