package io.pollenpath.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import io.pollenpath.util.LogLine;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines in a separate thread and never blocks the caller. Lines are dropped while the
 * queue is full; the next line that is queued is followed by a warning with the number dropped.
 */
public final class BoundedAsyncAppender extends AsyncAppender {

    private final AtomicLong dropped = new AtomicLong();

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() <= 1) {
            dropped.incrementAndGet();
            return;
        }
        super.append(event);
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            super.append(droppedLinesEvent(droppedLines));
        }
    }

    private ILoggingEvent droppedLinesEvent(long droppedLines) {
        LoggingEvent event = new LoggingEvent();
        event.setLoggerContext((LoggerContext) getContext());
        event.setLoggerName(BoundedAsyncAppender.class.getName());
        event.setThreadName(Thread.currentThread().getName());
        event.setLevel(Level.WARN);
        event.setTimeStamp(System.currentTimeMillis());
        event.setMessage(LogLine.event("log_lines_dropped").with("lines", droppedLines).toString());
        return event;
    }
}
