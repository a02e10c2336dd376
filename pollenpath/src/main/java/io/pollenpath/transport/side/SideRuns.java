package io.pollenpath.transport.side;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.coordination.RetainedAnswers;
import io.pollenpath.protocol.wire.Execution;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.transport.PeerChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The runs of a side process and their retained answers, whose memory is bounded. Used on the
 * control thread.
 */
final class SideRuns {

    private final AnswerLimits limits;
    private final long resumeWindowNanos;
    private final RetainedAnswers retained;
    private final Map<String, SideRun> runs = new HashMap<>();

    SideRuns(AnswerLimits limits) {
        this.limits = limits;
        resumeWindowNanos = TimeUnit.MILLISECONDS.toNanos(limits.resumeWindowMs());
        retained = new RetainedAnswers(limits.maxRetainedBytes());
    }

    SideRun open(Submit submit, PeerChannel reader, Span queueSpan) {
        String id = submit.getRequestId();
        remove(id);
        SideRun run =
                new SideRun(submit, reader, queueSpan, retained.open(id), limits.windowBytes());
        runs.put(id, run);
        return run;
    }

    SideRun get(String requestId) {
        return runs.get(requestId);
    }

    Collection<SideRun> all() {
        return runs.values();
    }

    SideRun remove(String requestId) {
        retained.remove(requestId);
        return runs.remove(requestId);
    }

    /** Adds a piece from the backend server, and pauses reading if too much is unacknowledged. */
    void append(SideRun run, byte[] piece, long nowNanos) {
        if (run.answer.isFinished()) {
            return;
        }
        retained.append(run.requestId(), piece, this::isRead);
        if (run.abandonReason().isEmpty()) {
            run.sendAllowed();
        } else {
            retained.discardPieces(run.requestId());
        }
        updatePause(run, nowNanos);
    }

    private boolean isRead(String requestId) {
        SideRun run = runs.get(requestId);
        return run != null && run.hasReader();
    }

    void acknowledge(PeerChannel peer, String requestId, int nextIndex, long nowNanos) {
        SideRun run = runs.get(requestId);
        if (run != null) {
            run.acknowledge(peer, nextIndex, nowNanos);
            updatePause(run, nowNanos);
        }
    }

    void updatePause(SideRun run, long nowNanos) {
        long unreadBytes = run.answer.unacknowledgedBytes();
        boolean full = retained.isFull(this::isRead);
        boolean mustPause = full || unreadBytes > limits.maxUnreadBytes();
        boolean mayContinue = !full && unreadBytes <= limits.maxUnreadBytes() / 2;
        if (mustPause) {
            run.setPaused(run.abandonReason().isEmpty(), nowNanos);
        } else if (mayContinue) {
            run.setPaused(false, nowNanos);
        }
    }

    /**
     * Discards the answer of a started run that must not be cancelled, once its unread answer or
     * the retained answers together reach their limit. The run itself continues.
     */
    void discardIfStarted(SideRun run, String reason, long nowNanos) {
        boolean full = run.answer.unacknowledgedBytes() > limits.maxUnreadBytes();
        if (!run.isStarted() || !(full || retained.isFull(this::isRead)) || !run.abandon(reason)) {
            return;
        }
        run.dropReader(
                run.refused(
                        Execution.EXECUTION_YES,
                        reason,
                        "the answer was not read in time and is discarded; the run continues",
                        0));
        retained.discardPieces(run.requestId());
        run.setPaused(false, nowNanos);
    }

    void endAnswer(SideRun run) {
        retained.end(run.requestId());
    }

    void linkClosed(PeerChannel peer, long nowNanos) {
        runs.values().forEach(run -> run.detach(peer, nowNanos));
    }

    /** Returns the runs that had no reader, or a stalled one, for the whole resume window. */
    List<SideRun> abandoned(long nowNanos) {
        List<SideRun> abandoned = new ArrayList<>();
        for (SideRun run : runs.values()) {
            updatePause(run, nowNanos);
            if (run.isIdleFor(resumeWindowNanos, nowNanos) && run.abandonReason().isEmpty()) {
                abandoned.add(run);
            }
        }
        return abandoned;
    }

    /** Removes the answers whose retention time has passed. */
    void expire(long retentionNanos, long nowNanos) {
        List<String> expired = new ArrayList<>();
        for (SideRun run : runs.values()) {
            if (run.endedNanos != 0 && nowNanos - run.endedNanos >= retentionNanos) {
                expired.add(run.requestId());
            }
        }
        expired.forEach(this::remove);
    }

    long retainedBytes() {
        return retained.totalBytes();
    }
}
