package io.pollenpath.transport.side;

import io.pollenpath.coordination.GrantValidator;
import io.pollenpath.coordination.queue.FairAdmissionQueue;
import io.pollenpath.coordination.queue.QueueLimits;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Hello;
import io.pollenpath.protocol.wire.Leaving;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.transport.ControlThread;
import io.pollenpath.transport.PeerChannel;
import io.pollenpath.transport.PeerHandler;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.LogLine;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Ties the peer links of a side process to its control thread. */
public final class SideProcess implements PeerHandler, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(SideProcess.class);
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long POLL_IDLE_MS = 20;

    private final SideOptions options;
    private final Set<PeerChannel> links = ConcurrentHashMap.newKeySet();
    private final long incarnation = newIncarnation();
    private final ControlThread control;
    private final SideController controller;
    private boolean leaving;
    private boolean drained;
    private volatile SideLoad load = SideLoad.IDLE;
    private long lastReportNanos = System.nanoTime();

    /**
     * Starts the control thread.
     *
     * @param options the settings, not null
     * @param backend runs requests on the backend server, not null
     * @param traces records the hops, not null
     */
    public SideProcess(SideOptions options, Backend backend, Traces traces) {
        this.options = options;
        control = new ControlThread(this::tick);
        controller =
                new SideController(
                        options,
                        new GrantValidator(incarnation, System.nanoTime(), options.retentionMs()),
                        new FairAdmissionQueue(
                                QueueLimits.of(options.maxQueued(), options.maxRunning()),
                                new SplittableRandom(incarnation)),
                        backend,
                        traces,
                        control::execute);
    }

    private static long newIncarnation() {
        return ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    }

    /**
     * Returns the control thread.
     *
     * @return the thread
     */
    public ControlThread control() {
        return control;
    }

    /**
     * Returns how busy this process was at its last report.
     *
     * @return the load
     */
    public SideLoad load() {
        return load;
    }

    /**
     * Takes new declarations; runs on the control thread.
     *
     * @param snapshot the declarations, not null
     */
    public void onConfig(ConfigSnapshot snapshot) {
        controller.updateShares(snapshot.contracts());
        boolean nowDrained = snapshot.server(options.server()).map(s -> s.drained()).orElse(false);
        if (nowDrained != drained) {
            drained = nowDrained;
            LOG.info("{}", LogLine.event("drain_changed").with("drained", drained));
            updateAccepting("drained by an operator");
        }
    }

    private void updateAccepting(String reason) {
        boolean accepting = !leaving && !drained;
        controller.setAccepting(accepting);
        if (!accepting) {
            Frame.Builder frame =
                    Frame.newBuilder().setLeaving(Leaving.newBuilder().setReason(reason));
            links.forEach(link -> link.send(frame));
        } else {
            report(System.nanoTime());
        }
    }

    @Override
    public void onOpen(PeerChannel peer) {
        peer.send(
                Frame.newBuilder()
                        .setHello(
                                Hello.newBuilder()
                                        .setProcess(options.server())
                                        .setZone(options.zone())
                                        .setIncarnation(incarnation)));
        links.add(peer);
        control.execute(() -> sendReport(peer));
    }

    @Override
    public void onFrame(PeerChannel peer, Frame frame) {
        control.execute(() -> handle(peer, frame));
    }

    private void handle(PeerChannel peer, Frame frame) {
        long nowNanos = System.nanoTime();
        switch (frame.getBodyCase()) {
            case SUBMIT -> controller.submit(peer, frame.getSubmit(), nowNanos);
            case CANCEL -> controller.cancel(peer, frame.getCancel(), nowNanos);
            case RESUME -> controller.resume(peer, frame.getResume(), nowNanos);
            case ACKNOWLEDGE -> controller.acknowledge(peer, frame.getAcknowledge(), nowNanos);
            default -> {
                // Other frames need no answer from a side process.
            }
        }
    }

    @Override
    public void onClose(PeerChannel peer) {
        links.remove(peer);
        control.execute(() -> controller.linkClosed(peer, System.nanoTime()));
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        controller.tick(nowNanos);
        if (nowNanos - lastReportNanos >= REPORT_NANOS) {
            report(nowNanos);
        }
    }

    private void report(long nowNanos) {
        lastReportNanos = nowNanos;
        load = controller.load();
        links.forEach(this::sendReport);
    }

    private void sendReport(PeerChannel peer) {
        peer.send(Frame.newBuilder().setLoadReport(controller.loadReport(System.nanoTime())));
    }

    /**
     * Refuses new work and waits until the admitted work is done.
     *
     * @param graceMs the longest wait, in milliseconds
     * @return true if all admitted work was done in time
     */
    public boolean drain(long graceMs) {
        control.execute(
                () -> {
                    leaving = true;
                    updateAccepting("stopping");
                });
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMs);
        while (System.nanoTime() - endNanos < 0) {
            CompletableFuture<Boolean> idle = new CompletableFuture<>();
            control.execute(() -> idle.complete(controller.isIdle()));
            if (idle.join()) {
                return true;
            }
            sleep();
        }
        return false;
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_IDLE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        control.close();
        links.forEach(PeerChannel::close);
    }
}
