package io.pollenpath.platform;

import io.pollenpath.util.LogLine;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the era of the store, which the store names in its answers and raises each time it comes
 * back from an older copy. Thread-safe.
 */
final class StoreEra {

    /** The era of a store that names none, which is also the first one. */
    static final long FIRST = 0;

    private static final long UNKNOWN = -1;

    /**
     * How long answers of the highest era must be missing before a lower one is taken as the
     * store's own, in milliseconds. Answers that were under way when the store went away arrive
     * sooner.
     */
    private static final long LOWER_ERA_DELAY_MS = 5_000;

    private static final Logger LOG = LoggerFactory.getLogger(StoreEra.class);

    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long current = UNKNOWN;
    private boolean answeredWithoutEra;
    private int changes;
    private long lastCurrentNanos;
    private boolean invalidLogged;
    private boolean lowerLogged;

    /**
     * Adds an action to run after each change of the era, on the thread that received the answer.
     */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the era of the store; {@link #FIRST} if it has named none. */
    synchronized long current() {
        return Math.max(FIRST, current);
    }

    /** Returns how often the era has changed since this process started. */
    synchronized int changeCount() {
        return changes;
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
        OptionalLong era = parse(text);
        if (era.isEmpty()) {
            recordMissing();
            return true;
        }
        Verdict verdict = recordEra(era.getAsLong(), call, nowNanos);
        if (verdict == Verdict.CHANGED) {
            listeners.forEach(Runnable::run);
        }
        return verdict != Verdict.OUTDATED;
    }

    private enum Verdict {
        CURRENT,
        CHANGED,
        OUTDATED
    }

    private synchronized void recordMissing() {
        answeredWithoutEra = true;
    }

    private synchronized Verdict recordEra(long era, String call, long nowNanos) {
        if (era < current && !isSilent(nowNanos)) {
            logLower(era, call);
            return Verdict.OUTDATED;
        }
        lastCurrentNanos = nowNanos;
        if (era == current) {
            return Verdict.CURRENT;
        }
        LOG.info(
                "{}",
                LogLine.event("store_era")
                        .with("before", current == UNKNOWN ? "none" : current)
                        .with("era", era)
                        .with("call", call));
        boolean first = current == UNKNOWN && !answeredWithoutEra;
        current = era;
        if (first) {
            return Verdict.CURRENT;
        }
        changes++;
        return Verdict.CHANGED;
    }

    private boolean isSilent(long nowNanos) {
        return nowNanos - lastCurrentNanos > TimeUnit.MILLISECONDS.toNanos(LOWER_ERA_DELAY_MS);
    }

    private OptionalLong parse(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            long era = Long.parseLong(text.trim());
            if (era >= FIRST) {
                return OptionalLong.of(era);
            }
        } catch (NumberFormatException e) {
            // Handled as any other text that names no era.
        }
        logInvalid(text);
        return OptionalLong.empty();
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
