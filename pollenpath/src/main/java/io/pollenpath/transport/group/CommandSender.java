package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.AddressedCommand;
import io.pollenpath.coordination.group.CommandBackoff;
import io.pollenpath.coordination.group.LeaderState;
import io.pollenpath.coordination.group.SendWindow;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.VmCapacity;
import java.util.HashSet;
import java.util.Set;

/**
 * Sends the commands of a leader, at most one at a time to each rank, as far as the link and the
 * delays after failures allow. Must be called on the control thread only.
 */
final class CommandSender {

    /** Size of a command in the text of the engines' API, in multiples of an agent's message. */
    private static final int DIRECT_SIZE_FACTOR = 4;

    private final long token;
    private final LeaderState state;
    private final AgentScheduler scheduler;
    private final LeaderCallStats stats;
    private final SendWindow window;
    private final CommandEncoder encoder;
    private final CommandBackoff backoff = new CommandBackoff();

    /** Ranks with a command that is not answered yet. */
    private final Set<Integer> pendingRanks = new HashSet<>();

    /** Ranks that refused the present map, whose agents may not know the map that it changes. */
    private final Set<Integer> ranksWithoutBase = new HashSet<>();

    private long mapVersion = -1;

    /** Receives the reports that answer commands. */
    interface Listener {

        /**
         * Handles the answer to a command, after its result was passed to the leader's state.
         *
         * @param peer the peer that answered
         * @param report its report
         * @param sentNanos the time at which the command was sent
         */
        void onAnswer(RankPeer peer, RankReport report, long sentNanos);
    }

    CommandSender(
            String group,
            long token,
            LeaderState state,
            VmCapacity capacity,
            AgentScheduler scheduler,
            LeaderCallStats stats) {
        this.token = token;
        this.state = state;
        this.scheduler = scheduler;
        this.stats = stats;
        window = new SendWindow(capacity.linkBytesPerSecond());
        encoder = new CommandEncoder(group, token);
    }

    /** Sends a command, unless the rank has one in progress, or its delay or the window forbid. */
    void send(AddressedCommand addressed, RankPeer peer, long nowNanos, Listener listener) {
        int rank = addressed.rank();
        if (pendingRanks.contains(rank) || !backoff.isDue(rank, nowNanos)) {
            return;
        }
        EngineCommand command = addressed.command();
        followMap(command);
        boolean direct = peer.sendsPastAgent(command);
        boolean whole = direct || ranksWithoutBase.contains(rank);
        byte[] body = encoder.encode(command, state.epoch(), whole);
        int bytes = direct ? DIRECT_SIZE_FACTOR * body.length : body.length;
        if (!window.tryAcquire(bytes)) {
            return;
        }
        pendingRanks.add(rank);
        stats.onCommandSent(bytes, direct);
        peer.command(command, body, state.epoch(), token, window.timeoutMs())
                .whenCompleteAsync(
                        (report, failure) -> {
                            pendingRanks.remove(rank);
                            window.release(bytes);
                            if (failure == null) {
                                recordResult(addressed, report);
                                listener.onAnswer(peer, report, nowNanos);
                            }
                        },
                        scheduler.executor());
    }

    /** Prepares to send a map, if the command has another one than those before. */
    private void followMap(EngineCommand command) {
        if (command instanceof EngineCommand.Prepare prepare && prepare.version() != mapVersion) {
            mapVersion = prepare.version();
            encoder.setBase(state.activeMap());
            ranksWithoutBase.clear();
        }
    }

    private void recordResult(AddressedCommand addressed, RankReport report) {
        long nowNanos = scheduler.nowNanos();
        int rank = addressed.rank();
        CommandResult result = report.outcome().orElse(CommandResult.UNKNOWN);
        stats.onCommandEnded(result);
        backoff.onOutcome(rank, result == CommandResult.ACCEPTED, nowNanos);
        boolean isMap = addressed.command() instanceof EngineCommand.Prepare;
        if (isMap && result == CommandResult.REJECTED) {
            ranksWithoutBase.add(rank);
        }
        state.onOutcome(addressed, result, nowNanos);
    }
}
