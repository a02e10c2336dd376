package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.coordination.serving.WaitingRequests.QueuedRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays the callers that return after a stop beside those that arrive for the first time, while
 * shifts of the demand for experts make passes long for a moment. All servers make their passes
 * together; a stream gets one event a pass.
 */
class LateCallersFleetTest {

    private static final int SERVERS = 16;
    private static final int SLOTS = 8;
    private static final int EVENTS_PER_STREAM = 24;
    private static final double EMPTY_PASS_MS = 18.2;
    private static final double PASS_MS_PER_STREAM = 3.62;
    private static final double PREFILL_MS = 13;
    private static final double OBJECTIVE_MS = 500;
    private static final double GAP_OBJECTIVE_MS = 120;
    private static final long ON_TIME_QUEUE_MS = 200;
    private static final long MAX_QUEUE_MS = 1_000;
    private static final double USUAL_FACTOR = 1.15;
    private static final double SHIFT_FACTOR = 2.2;
    private static final long SHIFT_INTERVAL_MS = 3_200;
    private static final long SHIFT_MS = 350;
    private static final long PLAY_MS = 12_000;
    private static final long RETURN_FROM_MS = 2_000;
    private static final long RETURN_UNTIL_MS = 5_000;

    /** New callers on time, as a part of those that are when nobody returns: a tenth less. */
    private static final double MIN_RELATIVE_ON_TIME = 0.9;

    private static final class Stream {
        private final boolean returned;
        private final long arrivedMs;
        private int events;
        private double lastEventMs;
        private boolean late;

        private Stream(boolean returned, long arrivedMs) {
            this.returned = returned;
            this.arrivedMs = arrivedMs;
        }
    }

    private static final class Fleet {
        private final Random random;
        private final WaitingRequests<Stream> queue = new WaitingRequests<>();
        private final AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(EMPTY_PASS_MS);
        private final List<Stream> running = new ArrayList<>();
        private double nextPassMs;
        private int newCallers;
        private int newOnTime;
        private int returnedAnswered;

        private Fleet(long seed) {
            random = new Random(seed);
        }

        private void play(double newPerSecond, double returnsPerSecond) {
            for (long nowMs = 0; nowMs < PLAY_MS; nowMs++) {
                if (random.nextDouble() < newPerSecond / 1_000) {
                    newCallers++;
                    queue.add(
                            1,
                            false,
                            nowMs + ON_TIME_QUEUE_MS,
                            nowMs + MAX_QUEUE_MS,
                            new Stream(false, nowMs),
                            nowMs);
                }
                boolean returns = nowMs >= RETURN_FROM_MS && nowMs < RETURN_UNTIL_MS;
                if (returns && random.nextDouble() < returnsPerSecond / 1_000) {
                    queue.add(1, true, nowMs, nowMs + MAX_QUEUE_MS, new Stream(true, nowMs), nowMs);
                }
                queue.demoteLate(nowMs);
                queue.removeExpired(nowMs);
                admit();
                if (nowMs >= nextPassMs) {
                    pass(nowMs);
                }
            }
        }

        private void admit() {
            Optional<QueuedRequest<Stream>> next = queue.first();
            while (next.isPresent() && running.size() < SERVERS * SLOTS && admits(next.get())) {
                queue.remove(next.get().request());
                running.add(next.get().request());
                next = queue.first();
            }
        }

        private boolean admits(QueuedRequest<Stream> queued) {
            return queued.late()
                    ? limit.admitsLate(running.size(), SERVERS * SLOTS)
                    : limit.admits(running.size(), SERVERS * SLOTS);
        }

        private void pass(long nowMs) {
            double prefillMs = 0;
            for (Stream stream : List.copyOf(running)) {
                prefillMs = stream.events == 0 ? PREFILL_MS : prefillMs;
                onEvent(stream, nowMs);
            }
            boolean shifted = nowMs % SHIFT_INTERVAL_MS < SHIFT_MS && nowMs > SHIFT_INTERVAL_MS;
            double decodeMs = EMPTY_PASS_MS + PASS_MS_PER_STREAM * running.size() / SERVERS;
            double factor = shifted ? SHIFT_FACTOR : USUAL_FACTOR;
            nextPassMs = nowMs + factor * (decodeMs + prefillMs);
        }

        private void onEvent(Stream stream, long nowMs) {
            if (stream.events == 0) {
                stream.late = stream.returned || nowMs - stream.arrivedMs > OBJECTIVE_MS;
            } else {
                double gapMs = nowMs - stream.lastEventMs;
                stream.late |= gapMs > GAP_OBJECTIVE_MS;
                limit.onGap(gapMs, GAP_OBJECTIVE_MS, running.size());
            }
            stream.lastEventMs = nowMs;
            stream.events++;
            if (stream.events == EVENTS_PER_STREAM) {
                running.remove(stream);
                newOnTime += !stream.returned && !stream.late ? 1 : 0;
                returnedAnswered += stream.returned ? 1 : 0;
            }
        }

        private double onTimeFraction() {
            long open = running.stream().filter(stream -> !stream.returned).count();
            return newOnTime / (double) (newCallers - open - queue.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"55, 1", "55, 2", "65, 3"})
    void callersThatReturnTakeOnlyTheRoomThatOthersLeave(double newPerSecond, long seed) {
        Fleet alone = new Fleet(seed);
        alone.play(newPerSecond, 0);
        Fleet fleet = new Fleet(seed);
        fleet.play(newPerSecond, 60);
        assertWithMessage("new callers on time, seed %s", seed)
                .that(fleet.onTimeFraction())
                .isAtLeast(MIN_RELATIVE_ON_TIME * alone.onTimeFraction());
        assertWithMessage("returned callers that are answered, seed %s", seed)
                .that(fleet.returnedAnswered)
                .isGreaterThan(0);
    }
}
