package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.CrashReport;
import io.pollenpath.coordination.serving.LimitReport;
import io.pollenpath.coordination.serving.SlowdownReport;
import io.pollenpath.coordination.serving.TrialClaim;
import java.util.List;

/** What this entry knows of servers that other entries should know too. */
final class EntryKnowledge {

    private final CrashGuard crashGuard;
    private final BackendServers servers;

    /**
     * What one entry, or the agent beside a server, knows.
     *
     * @param crashes the servers that crashed, not null
     * @param limits the limits that servers have named, not null
     * @param slowdowns the servers that are slow; only agents tell them, not null
     */
    record Report(CrashReport crashes, List<LimitReport> limits, List<SlowdownReport> slowdowns) {

        Report {
            limits = List.copyOf(limits);
            slowdowns = List.copyOf(slowdowns);
        }
    }

    EntryKnowledge(CrashGuard crashGuard, BackendServers servers) {
        this.crashGuard = crashGuard;
        this.servers = servers;
    }

    /** Returns all that this entry tells others. */
    Report report(long nowNanos) {
        return new Report(crashGuard.report(nowNanos), servers.limits(nowNanos), List.of());
    }

    /** Merges what another entry or an agent knows. */
    void merge(Report report, long nowNanos) {
        crashGuard.merge(report.crashes(), nowNanos);
        servers.merge(report.limits(), nowNanos);
        servers.onSlowdowns(report.slowdowns(), nowNanos);
    }

    /** Votes on a trial that another entry wants to run. */
    boolean vote(TrialClaim claim, long nowNanos) {
        return crashGuard.vote(claim, nowNanos);
    }
}
