package io.pollenpath.transport.side;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.coordination.GrantValidator;
import io.pollenpath.coordination.RunAdmission;
import io.pollenpath.coordination.RunLedger;
import io.pollenpath.coordination.queue.Admission;
import io.pollenpath.coordination.queue.AdmissionQueue;
import io.pollenpath.coordination.queue.WorkItem;
import io.pollenpath.protocol.wire.Acknowledge;
import io.pollenpath.protocol.wire.Cancel;
import io.pollenpath.protocol.wire.Execution;
import io.pollenpath.protocol.wire.LoadReport;
import io.pollenpath.protocol.wire.Resume;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.state.Contract;
import io.pollenpath.state.PriorityClass;
import io.pollenpath.transport.PeerChannel;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.LogLine;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Admits, dispatches and answers the requests of one side process, on the control thread. */
final class SideController {

    private static final Logger LOG = LoggerFactory.getLogger(SideController.class);
    private static final int RETRY_AFTER_DRAIN_MS = 200;
    private static final int RETRY_AFTER_LOST_MS = 1_000;

    private final String server;
    private final int maxRunning;
    private final long retentionNanos;
    private final AdmissionQueue queue;
    private final RunLedger ledger;
    private final GrantValidator grantValidator;
    private final RunAdmission admission;
    private final Backend backend;
    private final Traces traces;
    private final Executor control;
    private final SideRuns runs;
    private int running;
    private boolean accepting = true;

    SideController(
            SideOptions options,
            GrantValidator grantValidator,
            AdmissionQueue queue,
            Backend backend,
            Traces traces,
            Executor control) {
        server = options.server();
        maxRunning = options.maxRunning();
        retentionNanos = TimeUnit.MILLISECONDS.toNanos(options.retentionMs());
        this.grantValidator = grantValidator;
        this.queue = queue;
        this.backend = backend;
        this.traces = traces;
        this.control = control;
        runs = new SideRuns(options.answers());
        ledger = new RunLedger(retentionNanos);
        admission = new RunAdmission(grantValidator, ledger);
    }

    void submit(PeerChannel peer, Submit submit, long nowNanos) {
        switch (admission.submit(toArrival(submit), accepting, nowNanos)) {
            case ADMIT -> admit(peer, submit, nowNanos);
            case ATTACH -> attach(peer, toResume(submit), submit.getAttempt(), nowNanos);
            case REFUSED_BEFORE ->
                    refuse(
                            peer,
                            submit,
                            "refused_before",
                            "this attempt was already refused; send a new one",
                            RETRY_AFTER_DRAIN_MS);
            case DRAINING ->
                    refuse(
                            peer,
                            submit,
                            "draining",
                            "the server accepts no new requests",
                            RETRY_AFTER_DRAIN_MS);
            case EXECUTOR_LOST -> peer.send(SideFrames.executorLost(submit));
            case GRANT_EXPIRED -> peer.send(SideFrames.grantExpired(submit));
        }
    }

    private static RunAdmission.Arrival toArrival(Submit submit) {
        return new RunAdmission.Arrival(
                submit.getRequestId(),
                submit.getAttempt(),
                submit.getRepeatable(),
                submit.getGrant().getExecutorIncarnation(),
                submit.getGrant().getExecutorTimeMs());
    }

    private void admit(PeerChannel peer, Submit submit, long nowNanos) {
        Admission offered = queue.offer(toItem(submit, nowNanos), nowNanos);
        if (!offered.admitted()) {
            ledger.refuse(submit.getRequestId(), submit.getAttempt(), nowNanos);
            refuse(
                    peer,
                    submit,
                    offered.code(),
                    "the request was not admitted to the queue",
                    offered.retryAfterMs());
            return;
        }
        offered.displaced()
                .ifPresent(
                        item ->
                                refuseQueued(
                                        item,
                                        "displaced",
                                        "a more urgent request took its place in the full queue",
                                        offered.retryAfterMs(),
                                        nowNanos));
        Span queueSpan = traces.start("side.queue", submit.getTraceparent());
        queueSpan.setAttribute("server", server);
        runs.open(submit, peer, queueSpan);
        dispatch(nowNanos);
    }

    private static WorkItem toItem(Submit submit, long nowNanos) {
        return new WorkItem(
                submit.getRequestId(),
                submit.getCustomer(),
                PriorityClass.ofLevel(submit.getPriority()),
                submit.getShare(),
                submit.getCostTokens(),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(submit.getRemainingMs()));
    }

    private void refuse(
            PeerChannel peer, Submit submit, String code, String detail, int retryAfterMs) {
        SideLogs.refused(submit, code);
        peer.send(
                SideFrames.refused(
                        submit.getRequestId(),
                        submit.getAttempt(),
                        Execution.EXECUTION_NO,
                        code,
                        detail,
                        retryAfterMs));
    }

    private void dispatch(long nowNanos) {
        while (running < maxRunning) {
            Optional<WorkItem> next = queue.poll(nowNanos);
            if (next.isEmpty()) {
                return;
            }
            start(runs.get(next.get().requestId()), nowNanos);
        }
    }

    private void start(SideRun run, long nowNanos) {
        if (!ledger.start(run.requestId(), nowNanos)) {
            throw new IllegalStateException("request " + run.requestId() + " must not start");
        }
        running++;
        run.queueSpan.end();
        run.send(SideFrames.started(run.requestId(), run.attempt));
        run.runSpan = traces.start("side.run", run.submit.getTraceparent());
        run.runSpan.setAttribute("server", server);
        String traceparent = Traces.traceparent(run.runSpan);
        run.backendRun = backend.run(run.submit, traceparent, new RunListener(run));
    }

    private static Resume toResume(Submit submit) {
        return Resume.newBuilder()
                .setRequestId(submit.getRequestId())
                .setCustomer(submit.getCustomer())
                .setWindowBytes(submit.getWindowBytes())
                .setReader(submit.getReader())
                .build();
    }

    void resume(PeerChannel peer, Resume resume, long nowNanos) {
        SideRun run = runs.get(resume.getRequestId());
        attach(peer, resume, run == null ? 0 : run.attempt, nowNanos);
    }

    private void attach(PeerChannel peer, Resume resume, int attempt, long nowNanos) {
        String id = resume.getRequestId();
        SideRun run = runs.get(id);
        if (run == null || !run.submit.getCustomer().equals(resume.getCustomer())) {
            peer.send(
                    SideFrames.refused(
                            id,
                            attempt,
                            Execution.EXECUTION_UNKNOWN,
                            "unknown_request",
                            "no answer of this request is retained; check the id",
                            0));
            return;
        }
        if (resume.getContinuation() && run.hasOtherReader(peer)) {
            peer.send(run.replacedRefusal(resume.getReader()));
            return;
        }
        try {
            run.attach(
                    peer,
                    attempt,
                    resume.getNextIndex(),
                    resume.getWindowBytes(),
                    resume.getReader(),
                    nowNanos);
            runs.updatePause(run, nowNanos);
        } catch (IllegalArgumentException e) {
            peer.send(run.refused(executionOf(run), "piece_released", e.getMessage(), 0));
        }
    }

    private static Execution executionOf(SideRun run) {
        return run.isStarted() ? Execution.EXECUTION_YES : Execution.EXECUTION_UNKNOWN;
    }

    /** Handles a caller's disconnect; cancels its run unless the caller may resume the answer. */
    void cancel(PeerChannel peer, Cancel cancel, long nowNanos) {
        SideRun run = runs.get(cancel.getRequestId());
        if (run == null || run.answer.isFinished() || run.reader != peer) {
            return;
        }
        if (cancel.getReader() != 0 && cancel.getReader() != run.readerId()) {
            return;
        }
        run.detach(peer, nowNanos);
        if (!cancel.getResumable()) {
            abandon(run, "cancelled", nowNanos);
        }
    }

    /**
     * Abandons a run without a reader. A request that must not be repeated is not cancelled; at
     * most its answer is discarded.
     */
    private void abandon(SideRun run, String reason, long nowNanos) {
        if (!run.submit.getRepeatable()) {
            runs.discardIfStarted(run, reason, nowNanos);
        } else if (queue.remove(run.requestId())) {
            ledger.refuse(run.requestId(), run.attempt, nowNanos);
            run.queueSpan.end();
            runs.remove(run.requestId());
        } else if (run.isStarted() && run.abandon(reason)) {
            run.backendRun.cancel();
        }
    }

    void acknowledge(PeerChannel peer, Acknowledge acknowledge, long nowNanos) {
        runs.acknowledge(peer, acknowledge.getRequestId(), acknowledge.getNextIndex(), nowNanos);
    }

    void linkClosed(PeerChannel peer, long nowNanos) {
        runs.linkClosed(peer, nowNanos);
    }

    void setAccepting(boolean newAccepting) {
        accepting = newAccepting;
    }

    SideLoad load() {
        return new SideLoad(running, queue.size(), accepting);
    }

    boolean isIdle() {
        return running == 0 && queue.size() == 0;
    }

    void tick(long nowNanos) {
        for (WorkItem item : queue.removeExpired(nowNanos)) {
            refuseQueued(
                    item,
                    "deadline_unreachable",
                    "the request cannot be completed before its deadline",
                    queue.retryAfterMs(),
                    nowNanos);
        }
        ledger.expire(nowNanos);
        runs.abandoned(nowNanos).forEach(run -> abandon(run, "resume_window_over", nowNanos));
        runs.expire(retentionNanos, nowNanos);
    }

    /** Refuses a request that was removed from the queue and therefore never runs. */
    private void refuseQueued(
            WorkItem item, String code, String detail, int retryAfterMs, long nowNanos) {
        SideRun run = runs.remove(item.requestId());
        SideLogs.refused(run.submit, code);
        ledger.refuse(run.requestId(), run.attempt, nowNanos);
        run.queueSpan.end();
        run.send(
                SideFrames.refused(
                        run.requestId(),
                        run.attempt,
                        Execution.EXECUTION_NO,
                        code,
                        detail,
                        retryAfterMs));
    }

    void updateShares(Collection<Contract> contracts) {
        contracts.forEach(contract -> queue.updateShare(contract.customer(), contract.share()));
    }

    LoadReport.Builder loadReport(long nowNanos) {
        return LoadReport.newBuilder()
                .setServer(server)
                .setRunning(running)
                .setQueued(queue.size())
                .setQueuedTokens(queue.queuedTokens())
                .setTokensPerSecond(queue.tokensPerSecond())
                .setAccepting(accepting)
                .setExecutorTimeMs(grantValidator.executorTimeMs(nowNanos));
    }

    private void onRunEnded(SideRun run, String outcome, long nowNanos) {
        running--;
        queue.completed(run.requestId(), nowNanos);
        run.endedNanos = nowNanos;
        runs.endAnswer(run);
        run.runSpan.setAttribute("outcome", outcome);
        run.runSpan.end();
        LOG.info(
                "{}",
                LogLine.event("run_ended")
                        .with("trace", run.runSpan.getSpanContext().getTraceId())
                        .with("request", run.requestId())
                        .with("customer", run.submit.getCustomer())
                        .with("outcome", outcome)
                        .with("pieces", run.answer.nextIndex()));
        dispatch(nowNanos);
    }

    private void onRunFailed(SideRun run, Throwable cause, boolean started, long nowNanos) {
        if (run.endedNanos != 0) {
            return;
        }
        if (started) {
            ledger.finish(run.requestId(), nowNanos);
        } else {
            ledger.abandonStart(run.requestId(), nowNanos);
            runs.remove(run.requestId());
        }
        boolean abandoned = !run.abandonReason().isEmpty();
        run.fail(
                run.refused(
                        lostExecution(run, started),
                        abandoned ? run.abandonReason() : "backend_lost",
                        "the run failed: " + cause.getMessage(),
                        RETRY_AFTER_LOST_MS));
        onRunEnded(run, started ? "lost" : "not_started", nowNanos);
    }

    private static Execution lostExecution(SideRun run, boolean started) {
        if (!started) {
            return Execution.EXECUTION_NO;
        }
        return run.hasHead() ? Execution.EXECUTION_YES : Execution.EXECUTION_UNKNOWN;
    }

    /** Passes the events of the backend server to the control thread. */
    private final class RunListener implements Backend.Listener {
        private final SideRun run;

        RunListener(SideRun run) {
            this.run = run;
        }

        @Override
        public void onHead(int status, String contentType) {
            control.execute(() -> run.setHead(status, contentType));
        }

        @Override
        public void onPiece(byte[] piece) {
            control.execute(() -> runs.append(run, piece, System.nanoTime()));
        }

        @Override
        public void onEnd() {
            control.execute(
                    () -> {
                        long nowNanos = System.nanoTime();
                        run.finish();
                        ledger.finish(run.requestId(), nowNanos);
                        onRunEnded(run, "finished", nowNanos);
                    });
        }

        @Override
        public void onLost(Throwable cause, boolean started) {
            control.execute(() -> onRunFailed(run, cause, started, System.nanoTime()));
        }
    }
}
