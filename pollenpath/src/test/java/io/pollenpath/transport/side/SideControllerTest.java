package io.pollenpath.transport.side;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.coordination.GrantValidator;
import io.pollenpath.coordination.queue.FairAdmissionQueue;
import io.pollenpath.coordination.queue.QueueLimits;
import io.pollenpath.protocol.wire.Cancel;
import io.pollenpath.protocol.wire.Execution;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Grant;
import io.pollenpath.protocol.wire.Refused;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.transport.TestPeers;
import io.pollenpath.transport.Traces;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SideControllerTest {

    private static final long INCARNATION = 7;
    private static final int RETENTION_MS = 10_000;
    private static final SideOptions OPTIONS =
            new SideOptions("server-a", "zone-a", 1, 10, RETENTION_MS, AnswerLimits.DEFAULT);

    private final List<Backend.Listener> started = new ArrayList<>();
    private final TestPeers.RecordingLink first = new TestPeers.RecordingLink();
    private final TestPeers.RecordingLink second = new TestPeers.RecordingLink();
    private final SideController controller =
            new SideController(
                    OPTIONS,
                    new GrantValidator(INCARNATION, 0, RETENTION_MS),
                    new FairAdmissionQueue(
                            QueueLimits.of(OPTIONS.maxQueued(), OPTIONS.maxRunning()),
                            new SplittableRandom(1)),
                    (submit, traceparent, listener) -> {
                        started.add(listener);
                        return new IdleRun();
                    },
                    new Traces("side-test", ""),
                    Runnable::run);

    private record IdleRun() implements Backend.Run {
        @Override
        public void cancel() {}

        @Override
        public void setReading(boolean reading) {}
    }

    private static Submit submit(String id, long incarnation) {
        return Submit.newBuilder()
                .setRequestId(id)
                .setAttempt(1)
                .setCustomer("alpha")
                .setShare(1)
                .setRemainingMs(1_000)
                .setGrant(Grant.newBuilder().setExecutorIncarnation(incarnation))
                .build();
    }

    private static Refused onlyRefusal(TestPeers.RecordingLink peer) {
        List<Refused> refusals =
                peer.drainFrames().stream()
                        .filter(Frame::hasRefused)
                        .map(Frame::getRefused)
                        .toList();
        assertThat(refusals).hasSize(1);
        return refusals.get(0);
    }

    @Test
    void restartedExecutorNeitherRunsNorDeniesARunOfItsPredecessor() {
        controller.submit(first.peer(), submit("r", INCARNATION - 1), 0);
        assertThat(onlyRefusal(first).getExecution()).isEqualTo(Execution.EXECUTION_UNKNOWN);
        controller.setAccepting(false);
        controller.submit(first.peer(), submit("r", INCARNATION - 1), 0);
        assertThat(onlyRefusal(first).getExecution()).isEqualTo(Execution.EXECUTION_UNKNOWN);
        assertThat(started).isEmpty();
    }

    @Test
    void laterReaderLearnsThatTheRunWasLost() {
        controller.submit(first.peer(), submit("r", INCARNATION), 0);
        started.get(0).onLost(new IllegalStateException("connection reset"), true);
        assertThat(onlyRefusal(first).getExecution()).isEqualTo(Execution.EXECUTION_UNKNOWN);
        controller.submit(second.peer(), submit("r", INCARNATION), 0);
        assertThat(onlyRefusal(second).getExecution()).isEqualTo(Execution.EXECUTION_UNKNOWN);
        assertThat(started).hasSize(1);
    }

    @Test
    void runLostAfterItsHeadWasExecuted() {
        controller.submit(first.peer(), submit("r", INCARNATION), 0);
        started.get(0).onHead(200, "");
        started.get(0).onLost(new IllegalStateException("connection reset"), true);
        assertThat(onlyRefusal(first).getExecution()).isEqualTo(Execution.EXECUTION_YES);
    }

    @Test
    void replacedReaderIsToldAtOnce() {
        controller.submit(first.peer(), submit("r", INCARNATION), 0);
        controller.submit(second.peer(), submit("r", INCARNATION), 0);
        assertThat(onlyRefusal(first).getCode()).isEqualTo("resumed_elsewhere");
        started.get(0).onEnd();
        assertThat(second.drainFrames().get(0).hasFinished()).isTrue();
        assertThat(first.drainFrames()).isEmpty();
    }

    @Test
    void replacedReaderCannotCancelTheRun() {
        controller.submit(first.peer(), submit("running", INCARNATION), 0);
        controller.submit(first.peer(), submit("queued", INCARNATION), 0);
        controller.submit(second.peer(), submit("queued", INCARNATION), 0);
        controller.cancel(first.peer(), Cancel.newBuilder().setRequestId("queued").build(), 0);
        started.get(0).onEnd();
        assertThat(started).hasSize(2);
    }
}
