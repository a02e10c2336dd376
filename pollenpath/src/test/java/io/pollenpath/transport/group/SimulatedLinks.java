package io.pollenpath.transport.group;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Delays messages between VMs by the bandwidth of the sender's link, one message at a time. */
final class SimulatedLinks {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LATENCY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    private final VirtualExecutor executor;
    private final double bytesPerSecond;
    private final List<Link> links = new ArrayList<>();

    /** A message that is dropped unsent if nobody waits for it any more. */
    private record Message(int bytes, BooleanSupplier wanted, Runnable delivery) {}

    private static final class Link {
        private final Deque<Message> queue = new ArrayDeque<>();
        private boolean sending;
    }

    SimulatedLinks(VirtualExecutor executor, int vms, double bytesPerSecond) {
        this.executor = executor;
        this.bytesPerSecond = bytesPerSecond;
        for (int vm = 0; vm < vms; vm++) {
            links.add(new Link());
        }
    }

    /** Sends a message from a VM. */
    void send(int fromVm, int bytes, BooleanSupplier wanted, Runnable delivery) {
        Link link = links.get(fromVm);
        link.queue.add(new Message(bytes, wanted, delivery));
        if (!link.sending) {
            sendNext(link);
        }
    }

    private void sendNext(Link link) {
        Message message = link.queue.poll();
        while (message != null && !message.wanted().getAsBoolean()) {
            message = link.queue.poll();
        }
        link.sending = message != null;
        if (message == null) {
            return;
        }
        Message sent = message;
        long sendNanos = (long) (sent.bytes() * NANOS_PER_SECOND / bytesPerSecond);
        executor.schedule(() -> sendNext(link), sendNanos, TimeUnit.NANOSECONDS);
        executor.schedule(sent.delivery(), sendNanos + LATENCY_NANOS, TimeUnit.NANOSECONDS);
    }
}
