package io.pollenpath.transport.side;

/**
 * The load of a side process.
 *
 * @param running the number of requests that run on the backend server
 * @param queued the number of requests in the queue
 * @param accepting whether new requests are accepted
 */
public record SideLoad(int running, int queued, boolean accepting) {

    /** The load of a process that has just started. */
    static final SideLoad IDLE = new SideLoad(0, 0, true);
}
