package io.pollenpath.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Configures the log of a process: its level, its target and the process name in each line. */
final class LogSetup {

    private static final String ASYNC_APPENDER = "async";
    private static final String CONSOLE_APPENDER = "stdout";

    private LogSetup() {}

    /**
     * Configures the log of a role: every line carries the process name, and goes to standard
     * output.
     */
    static void configureForRole(String process, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.putProperty("process", process);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level));
        restartEncoder(context, "System.out");
    }

    /** Sends the log of an operator command to standard error, which keeps it out of the output. */
    static void configureForCommand(String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.putProperty("process", "operator");
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level));
        restartEncoder(context, "System.err");
    }

    /** Writes the queued lines and stops the log. Later lines are lost. */
    static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    // The pattern reads the context's properties when its encoder starts.
    private static void restartEncoder(LoggerContext context, String target) {
        Appender<ILoggingEvent> rootAppender =
                context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender(ASYNC_APPENDER);
        if (!(rootAppender instanceof AsyncAppender queue)) {
            return;
        }
        Appender<ILoggingEvent> found = queue.getAppender(CONSOLE_APPENDER);
        if (found instanceof ConsoleAppender<ILoggingEvent> console) {
            console.stop();
            console.setTarget(target);
            console.getEncoder().stop();
            console.getEncoder().start();
            console.start();
        }
    }
}
