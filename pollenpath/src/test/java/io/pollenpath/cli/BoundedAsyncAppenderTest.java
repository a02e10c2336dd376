package io.pollenpath.cli;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BoundedAsyncAppenderTest {

    private static final int QUEUE_SIZE = 8;
    private static final int LINES = 1_000;

    /** Blocks on every line until it is released. */
    private static final class BlockedAppender extends AppenderBase<ILoggingEvent> {
        private final CountDownLatch released = new CountDownLatch(1);
        private final List<String> lines = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent event) {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            lines.add(event.getFormattedMessage());
        }
    }

    @Test
    void fullQueueDropsAndCountsLinesWithoutBlocking() throws InterruptedException {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        BlockedAppender blocked = new BlockedAppender();
        blocked.setContext(context);
        blocked.start();
        BoundedAsyncAppender appender = new BoundedAsyncAppender();
        appender.setContext(context);
        appender.setQueueSize(QUEUE_SIZE);
        appender.setDiscardingThreshold(0);
        appender.setNeverBlock(true);
        appender.addAppender(blocked);
        appender.start();
        ch.qos.logback.classic.Logger logger = context.getLogger("test");
        logger.addAppender(appender);
        long startNanos = System.nanoTime();
        for (int i = 0; i < LINES; i++) {
            logger.info("line {}", i);
        }
        assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(2));
        blocked.released.countDown();
        while (appender.getNumberOfElementsInQueue() > 0) {
            Thread.sleep(1);
        }
        logger.info("after");
        appender.stop();
        assertThat(blocked.lines).contains("after");
        assertThat(blocked.lines.get(blocked.lines.size() - 1))
                .startsWith("event=log_lines_dropped");
    }
}
