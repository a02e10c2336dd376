package io.pollenpath.transport.serving;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** The result of opening a connection to a server. */
enum Reachability {
    /** The server accepted the connection. */
    LISTENING,

    /** The VM is reachable but no process listens at the address: the server has ended. */
    REFUSED,

    /** There was no answer in time, so nothing is known about the server. */
    UNREACHABLE;

    /** Classifies the failure to open a connection. */
    static Reachability of(Throwable cause) {
        boolean refused =
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return refused ? REFUSED : UNREACHABLE;
    }
}
