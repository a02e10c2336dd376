package io.pollenpath.transport;

import io.netty.channel.Channel;
import io.pollenpath.util.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes log events about connections. */
final class TransportLogs {

    private static final Logger LOG = LoggerFactory.getLogger(TransportLogs.class);

    private TransportLogs() {}

    static void warn(String event, Channel channel, Throwable cause) {
        LOG.warn(
                "{}",
                LogLine.event(event)
                        .with("remote", channel.remoteAddress())
                        .with("error", cause.toString()));
    }
}
