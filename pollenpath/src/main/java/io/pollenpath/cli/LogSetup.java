package io.pollenpath.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets what the log of a process shows. */
final class LogSetup {

    private static final String QUEUE = "async";
    private static final String APPENDER = "stdout";

    private LogSetup() {}

    /** Sets the name that every line carries, and the least severe level. */
    static void ofProcess(String process, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.putProperty("process", process);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level));
        restartEncoder(context, "System.out");
    }

    /** Sends the log of an operators' command to standard error, so that its output stays clean. */
    static void ofCommand(String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.putProperty("process", "operator");
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level));
        restartEncoder(context, "System.err");
    }

    /** Writes the lines that still wait; later ones are lost. */
    static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    // The pattern reads the context's properties when its encoder starts.
    private static void restartEncoder(LoggerContext context, String target) {
        Appender<ILoggingEvent> outer =
                context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender(QUEUE);
        if (!(outer instanceof AsyncAppender queue)) {
            return;
        }
        Appender<ILoggingEvent> found = queue.getAppender(APPENDER);
        if (found instanceof ConsoleAppender<ILoggingEvent> console) {
            console.stop();
            console.setTarget(target);
            console.getEncoder().stop();
            console.getEncoder().start();
            console.start();
        }
    }
}
