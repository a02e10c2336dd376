package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.LeaderListener;
import io.pollenpath.coordination.group.MapCommit;
import io.pollenpath.coordination.group.MapPlanner;
import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.util.LogLine;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the decisions of the leader of a group. */
final class LeaderLog implements LeaderListener {

    private static final Logger LOG = LoggerFactory.getLogger(LeaderLog.class);

    private final String group;
    private final AgentScheduler scheduler;
    private long commitStartNanos;

    LeaderLog(String group, AgentScheduler scheduler) {
        this.group = group;
        this.scheduler = scheduler;
    }

    @Override
    public void onCommitStarted(MapCommit commit, MapPlanner.Plan plan) {
        commitStartNanos = scheduler.nowNanos();
        LOG.info(
                "{}",
                event("commit_started")
                        .with("version", commit.version())
                        .with("excess_now", plan.imbalanceNow())
                        .with("excess_then", plan.imbalanceThen())
                        .with("fetches", plan.fetches()));
    }

    @Override
    public void onCommitTakenOver(MapCommit commit) {
        commitStartNanos = scheduler.nowNanos();
        logCommit("commit_taken_over", commit);
    }

    @Override
    public void onCommitPhase(MapCommit commit) {
        logCommit("commit_phase", commit);
    }

    @Override
    public void onHoldFailed(MapCommit commit, long step, CommandResult result) {
        LOG.info(
                "{}",
                event("hold_failed")
                        .with("version", commit.version())
                        .with("step", step)
                        .with("newest_step", commit.newestStep())
                        .with("outcome", result));
    }

    @Override
    public void onCommitEnded(MapCommit commit, boolean superseded) {
        logCommit(superseded ? "commit_superseded" : "commit_over", commit);
    }

    private void logCommit(String event, MapCommit commit) {
        long tookNanos = scheduler.nowNanos() - commitStartNanos;
        LOG.info(
                "{}",
                event(event)
                        .with("version", commit.version())
                        .with("step", commit.step())
                        .with("phase", commit.phase())
                        .with("prepared", commit.preparedRanks())
                        .with("armed", commit.armedRanks())
                        .with("took_ms", TimeUnit.NANOSECONDS.toMillis(tookNanos)));
    }

    @Override
    public void onRecovered(long epoch) {
        LOG.info("{}", event("group_settled").with("epoch", epoch));
    }

    @Override
    public void onLateHold(RankStatus status) {
        LOG.info(
                "{}",
                event("late_hold_found")
                        .with("rank", status.rank())
                        .with("step", status.held().orElse(-1))
                        .with("armed", status.armed().map(ArmedMap::version)));
    }

    @Override
    public void onEpochChanged(long epoch, long previousEpoch) {
        LOG.info("{}", event("group_epoch").with("epoch", epoch).with("before", previousEpoch));
    }

    private LogLine event(String name) {
        return LogLine.event(name).with("group", group);
    }
}
