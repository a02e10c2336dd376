package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RepeatedTaskTest {

    private static final int RUNS = 5;
    private static final long AWAIT_MS = 5_000;

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
}
