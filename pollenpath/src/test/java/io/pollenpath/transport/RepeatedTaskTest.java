package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.util.Pause;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RepeatedTaskTest {

    private static final int RUNS = 5;
    private static final long AWAIT_MS = 5_000;
    private static final long PAUSE_MS = 20;
    private static final long STANDSTILL_MS = 200;

    /** Guards against a timer that ends, untold, with the first run that throws. */
    @Test
    void goesOnAfterRunsThatFail() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(RUNS);
        CountDownLatch told = new CountDownLatch(RUNS);
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            ScheduledFuture<?> task =
                    RepeatedTask.start(
                            executor,
                            1,
                            () -> {
                                runs.countDown();
                                throw new IllegalStateException("failed run");
                            },
                            cause -> told.countDown());
            assertThat(runs.await(AWAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(told.await(AWAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(task.isDone()).isFalse();
        } finally {
            executor.shutdownNow();
        }
    }

    /** Guards against a burst of runs after the process has stood still. */
    @Test
    void makesUpForNoRunsThatWereMissed() throws InterruptedException {
        BlockingQueue<Long> startsNanos = new LinkedBlockingQueue<>();
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            RepeatedTask.start(
                    executor,
                    PAUSE_MS,
                    () -> {
                        if (startsNanos.isEmpty()) {
                            Pause.forMs(STANDSTILL_MS);
                        }
                        startsNanos.add(System.nanoTime());
                    },
                    cause -> {});
            long beforeNanos = startsNanos.take();
            for (int i = 1; i < RUNS; i++) {
                long startNanos = startsNanos.take();
                assertThat(startNanos - beforeNanos)
                        .isAtLeast(TimeUnit.MILLISECONDS.toNanos(PAUSE_MS));
                beforeNanos = startNanos;
            }
        } finally {
            executor.shutdownNow();
        }
    }
}
