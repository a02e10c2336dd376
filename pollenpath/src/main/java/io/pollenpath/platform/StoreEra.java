package io.pollenpath.platform;

import io.pollenpath.util.LogLine;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the era of the store, which the store names in its answers and raises each time it comes
 * back from an older copy. Thread-safe.
 */
final class StoreEra {

    /** The era of a store that names none. */
    static final long NONE = 0;

    /**
     * How long answers of the highest era must be missing before a lower one is taken as the
     * store's own, in milliseconds. Answers that were under way when the store went away arrive
     * sooner.
     */
    private static final long LOWER_ERA_DELAY_MS = 5_000;

    private static final Logger LOG = LoggerFactory.getLogger(StoreEra.class);

    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long current = NONE;
    private long lastCurrentNanos;
    private boolean invalidLogged;
    private boolean lowerLogged;

    /**
     * Adds an action to run after each change of the era, on the thread that received the answer.
     */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the era of the store; {@link #NONE} if it has named none. */
    synchronized long current() {
        return current;
    }

    /**
     * Records the era that an answer names.
     *
     * @param text the era as the answer names it; null if it names none
     * @param call the call that was answered, for the log
     * @param nowNanos the current time, in nanoseconds
     * @return false if the answer is from before the store came back, so that it must not be used
     */
    boolean onAnswer(String text, String call, long nowNanos) {
        long era = parse(text);
        if (era == NONE) {
            return true;
        }
        boolean changed;
        synchronized (this) {
            boolean stale = era < current && !isSilent(nowNanos);
            if (stale) {
                logLower(era, call);
                return false;
            }
            lastCurrentNanos = nowNanos;
            changed = current != NONE && era != current;
            if (era != current) {
                LOG.info(
                        "{}",
                        LogLine.event("store_era")
                                .with("before", current)
                                .with("era", era)
                                .with("call", call));
            }
            current = era;
        }
        if (changed) {
            listeners.forEach(Runnable::run);
        }
        return true;
    }

    private boolean isSilent(long nowNanos) {
        return nowNanos - lastCurrentNanos > TimeUnit.MILLISECONDS.toNanos(LOWER_ERA_DELAY_MS);
    }

    private long parse(String text) {
        if (text == null) {
            return NONE;
        }
        try {
            return Math.max(NONE, Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            logInvalid(text);
            return NONE;
        }
    }

    private synchronized void logInvalid(String text) {
        if (!invalidLogged) {
            invalidLogged = true;
            LOG.warn("{}", LogLine.event("store_era_unreadable").with("era", text));
        }
    }

    private void logLower(long era, String call) {
        if (!lowerLogged) {
            lowerLogged = true;
            LOG.warn(
                    "{}",
                    LogLine.event("store_answer_outdated")
                            .with("era", era)
                            .with("current", current)
                            .with("call", call));
        }
    }
}
