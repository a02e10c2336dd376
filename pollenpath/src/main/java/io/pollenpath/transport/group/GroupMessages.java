package io.pollenpath.transport.group;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.protocol.wire.ArmMap;
import io.pollenpath.protocol.wire.CommandOutcome;
import io.pollenpath.protocol.wire.DisarmMap;
import io.pollenpath.protocol.wire.ExpertList;
import io.pollenpath.protocol.wire.HoldStep;
import io.pollenpath.protocol.wire.LayerChanges;
import io.pollenpath.protocol.wire.LayerExperts;
import io.pollenpath.protocol.wire.PrepareMap;
import io.pollenpath.protocol.wire.RankCommand;
import io.pollenpath.protocol.wire.RankQuery;
import io.pollenpath.protocol.wire.RankReply;
import io.pollenpath.protocol.wire.RankState;
import io.pollenpath.protocol.wire.ReleaseStep;
import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.ExpertMapChanges;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Converts the calls between agents to protobuf messages and back. */
final class GroupMessages {

    private static final Logger LOG = LoggerFactory.getLogger(GroupMessages.class);
    private static final int EMPTY_SLOT = 0;

    /** Largest encoded count: the largest varint that takes one byte. */
    private static final long MAX_ENCODED_COUNT = 127;

    private GroupMessages() {}

    static byte[] encode(RankStatusQuery query) {
        return RankQuery.newBuilder()
                .setGroup(query.group())
                .setToken(query.token())
                .setWithCounts(query.withCounts())
                .setWithExperts(query.withExperts())
                .build()
                .toByteArray();
    }

    static RankStatusQuery decodeQuery(byte[] bytes) throws InvalidProtocolBufferException {
        RankQuery query = RankQuery.parseFrom(bytes);
        return new RankStatusQuery(
                query.getGroup(), query.getToken(), query.getWithCounts(), query.getWithExperts());
    }

    static byte[] encode(EngineCommand command, String group, long epoch, long token) {
        RankCommand.Builder message =
                RankCommand.newBuilder().setGroup(group).setToken(token).setEpoch(epoch);
        if (command instanceof EngineCommand.Prepare prepare) {
            message.setPrepare(encodePrepare(prepare));
        } else if (command instanceof EngineCommand.Hold hold) {
            message.setHold(HoldStep.newBuilder().setStep(hold.step()));
        } else if (command instanceof EngineCommand.Arm arm) {
            message.setArm(ArmMap.newBuilder().setVersion(arm.version()).setStep(arm.step()));
        } else if (command instanceof EngineCommand.Release release) {
            message.setRelease(ReleaseStep.newBuilder().setStep(release.step()));
        } else if (command instanceof EngineCommand.Disarm disarm) {
            message.setDisarm(DisarmMap.newBuilder().setVersion(disarm.version()));
        }
        return message.build().toByteArray();
    }

    private static PrepareMap encodePrepare(EngineCommand.Prepare prepare) {
        PrepareMap.Builder map = PrepareMap.newBuilder().setVersion(prepare.version());
        prepare.map().layers().forEach(ranks -> map.addLayers(encodeLayer(ranks)));
        return map.build();
    }

    /**
     * Encodes a map as its changes from a base map.
     *
     * @param prepare the command with the whole map
     * @param changes the changes of the base map that lead to it
     * @param baseVersion the version of the base map
     */
    static byte[] encodeChanges(
            EngineCommand.Prepare prepare,
            ExpertMapChanges changes,
            long baseVersion,
            String group,
            long epoch,
            long token) {
        PrepareMap.Builder map =
                PrepareMap.newBuilder()
                        .setVersion(prepare.version())
                        .setBaseVersion(baseVersion)
                        .setChecksum(prepare.map().checksum());
        changes.layers().forEach(ranks -> map.addChanges(encodeLayerChanges(ranks)));
        return RankCommand.newBuilder()
                .setGroup(group)
                .setToken(token)
                .setEpoch(epoch)
                .setPrepare(map)
                .build()
                .toByteArray();
    }

    private static LayerChanges encodeLayerChanges(List<ExpertMapChanges.RankExperts> ranks) {
        LayerChanges.Builder layer = LayerChanges.newBuilder();
        for (ExpertMapChanges.RankExperts change : ranks) {
            layer.addRankExperts(change.rank())
                    .addRankExperts(change.experts().size())
                    .addAllRankExperts(change.experts());
        }
        return layer.build();
    }

    private static LayerExperts encodeLayer(List<List<Integer>> ranks) {
        int slots = ranks.stream().mapToInt(List::size).max().orElse(0);
        LayerExperts.Builder layer = LayerExperts.newBuilder().setSlotsPerRank(slots);
        for (List<Integer> experts : ranks) {
            experts.forEach(expert -> layer.addSlots(expert + 1));
            for (int empty = experts.size(); empty < slots; empty++) {
                layer.addSlots(EMPTY_SLOT);
            }
        }
        return layer.build();
    }

    private static ExpertList encodeExperts(List<Integer> experts) {
        return ExpertList.newBuilder().addAllExperts(experts).build();
    }

    static RankCommand decodeCommand(byte[] bytes) throws InvalidProtocolBufferException {
        return RankCommand.parseFrom(bytes);
    }

    /**
     * Returns the command in a message.
     *
     * @param knownMaps the maps to which the changes in a message may refer
     * @return the command; empty if it needs a base map that is not known
     * @throws InvalidProtocolBufferException if this version does not know the type of the command
     */
    static Optional<EngineCommand> toEngineCommand(RankCommand message, RecentMaps knownMaps)
            throws InvalidProtocolBufferException {
        return switch (message.getOrderCase()) {
            case PREPARE -> decodePrepare(message.getPrepare(), knownMaps);
            case HOLD -> Optional.of(new EngineCommand.Hold(message.getHold().getStep()));
            case ARM ->
                    Optional.of(
                            new EngineCommand.Arm(
                                    message.getArm().getVersion(), message.getArm().getStep()));
            case RELEASE -> Optional.of(new EngineCommand.Release(message.getRelease().getStep()));
            case DISARM -> Optional.of(new EngineCommand.Disarm(message.getDisarm().getVersion()));
            case ORDER_NOT_SET ->
                    throw new InvalidProtocolBufferException(
                            "the command is missing or of an unknown type");
        };
    }

    private static Optional<EngineCommand> decodePrepare(PrepareMap prepare, RecentMaps knownMaps) {
        Optional<ExpertMap> map =
                prepare.hasBaseVersion()
                        ? applyChanges(prepare, knownMaps)
                        : Optional.of(decodeWholeMap(prepare));
        return map.map(decoded -> new EngineCommand.Prepare(prepare.getVersion(), decoded));
    }

    private static ExpertMap decodeWholeMap(PrepareMap prepare) {
        return new ExpertMap(
                prepare.getLayersList().stream().map(GroupMessages::decodeLayer).toList());
    }

    private static Optional<ExpertMap> applyChanges(PrepareMap prepare, RecentMaps knownMaps) {
        Optional<ExpertMap> base = knownMaps.find(prepare.getBaseVersion());
        if (base.isEmpty()) {
            return Optional.empty();
        }
        try {
            ExpertMap map = decodeChanges(prepare).applyTo(base.get());
            return map.checksum() == prepare.getChecksum() ? Optional.of(map) : Optional.empty();
        } catch (IllegalArgumentException e) {
            LOG.warn("{}", LogLine.event("map_changes_unreadable").with("cause", e.getMessage()));
            return Optional.empty();
        }
    }

    private static ExpertMapChanges decodeChanges(PrepareMap prepare) {
        return new ExpertMapChanges(
                prepare.getChangesList().stream()
                        .map(layer -> decodeLayerChanges(layer.getRankExpertsList()))
                        .toList());
    }

    private static List<ExpertMapChanges.RankExperts> decodeLayerChanges(List<Integer> numbers) {
        List<ExpertMapChanges.RankExperts> changes = new ArrayList<>();
        int next = 0;
        while (next < numbers.size()) {
            int first = next + 2;
            int end = first > numbers.size() ? first : first + numbers.get(next + 1);
            if (end > numbers.size()) {
                throw new IllegalArgumentException("the list of changed ranks is cut off");
            }
            int rank = numbers.get(next);
            changes.add(new ExpertMapChanges.RankExperts(rank, numbers.subList(first, end)));
            next = end;
        }
        return changes;
    }

    private static List<List<Integer>> decodeLayer(LayerExperts layer) {
        List<List<Integer>> ranks = new ArrayList<>();
        int slots = Math.max(1, layer.getSlotsPerRank());
        for (int first = 0; first + slots <= layer.getSlotsCount(); first += slots) {
            List<Integer> experts = new ArrayList<>();
            for (int slot : layer.getSlotsList().subList(first, first + slots)) {
                if (slot != EMPTY_SLOT) {
                    experts.add(slot - 1);
                }
            }
            ranks.add(experts);
        }
        return ranks;
    }

    static byte[] encode(RankReport report) {
        RankReply.Builder reply =
                RankReply.newBuilder()
                        .setLeaderToken(report.leaderToken())
                        .setLeaderHeardMs(report.leaderContactAgeMs());
        report.outcome().ifPresent(result -> reply.setOutcome(encodeOutcome(result)));
        report.status().ifPresent(status -> reply.setState(encodeState(status)));
        encodeCounts(report.counts(), reply);
        report.experts().forEach(list -> reply.addExperts(encodeExperts(list)));
        return reply.build().toByteArray();
    }

    /**
     * Rounds the counts to multiples of a unit: only their ratios are used, and each takes one
     * byte.
     */
    private static void encodeCounts(long[] counts, RankReply.Builder reply) {
        long max = Arrays.stream(counts).max().orElse(0);
        long unit = Math.max(1, (max + MAX_ENCODED_COUNT - 1) / MAX_ENCODED_COUNT);
        reply.setCountUnit(unit);
        for (long count : counts) {
            reply.addChosen((int) ((count + unit / 2) / unit));
        }
    }

    private static long[] decodeCounts(RankReply reply) {
        long unit = reply.getCountUnit();
        return reply.getChosenList().stream().mapToLong(units -> units * unit).toArray();
    }

    private static CommandOutcome encodeOutcome(CommandResult result) {
        return switch (result) {
            case ACCEPTED -> CommandOutcome.COMMAND_OUTCOME_ACCEPTED;
            case REJECTED -> CommandOutcome.COMMAND_OUTCOME_REJECTED;
            case FENCED -> CommandOutcome.COMMAND_OUTCOME_FENCED;
            case UNKNOWN -> CommandOutcome.COMMAND_OUTCOME_UNKNOWN;
        };
    }

    private static RankState encodeState(RankStatus status) {
        RankState.Builder state =
                RankState.newBuilder()
                        .setGroup(status.group())
                        .setEpoch(status.epoch())
                        .setRank(status.rank())
                        .setSize(status.size())
                        .setOpen(status.open())
                        .setStep(status.step())
                        .setMapVersion(status.mapVersion())
                        .setBusy(status.busy())
                        .setSlowdown(status.slowdown());
        status.prepared().ifPresent(state::setPreparedVersion);
        status.held().ifPresent(state::setHeldStep);
        status.armed()
                .ifPresent(
                        armed -> state.setArmedVersion(armed.version()).setArmedStep(armed.step()));
        return state.build();
    }

    static RankReport decodeReport(byte[] bytes) throws InvalidProtocolBufferException {
        RankReply reply = RankReply.parseFrom(bytes);
        return new RankReport(
                decodeOutcome(reply.getOutcome()),
                reply.hasState() ? Optional.of(decodeState(reply.getState())) : Optional.empty(),
                decodeCounts(reply),
                reply.getExpertsList().stream().map(ExpertList::getExpertsList).toList(),
                reply.getLeaderToken(),
                reply.getLeaderHeardMs());
    }

    private static Optional<CommandResult> decodeOutcome(CommandOutcome outcome) {
        return switch (outcome) {
            case COMMAND_OUTCOME_ACCEPTED -> Optional.of(CommandResult.ACCEPTED);
            case COMMAND_OUTCOME_REJECTED -> Optional.of(CommandResult.REJECTED);
            case COMMAND_OUTCOME_FENCED -> Optional.of(CommandResult.FENCED);
            case COMMAND_OUTCOME_UNKNOWN, UNRECOGNIZED -> Optional.of(CommandResult.UNKNOWN);
            case COMMAND_OUTCOME_NONE -> Optional.empty();
        };
    }

    /** Returns the slowdown that a message tells; 1 if it tells none that can be used. */
    private static double slowdown(RankState state) {
        double slowdown = state.getSlowdown();
        return slowdown > 0 && Double.isFinite(slowdown) ? slowdown : 1;
    }

    private static RankStatus decodeState(RankState state) {
        return new RankStatus(
                state.getGroup(),
                state.getEpoch(),
                state.getRank(),
                state.getSize(),
                state.getOpen(),
                state.getStep(),
                state.getMapVersion(),
                state.hasPreparedVersion()
                        ? OptionalLong.of(state.getPreparedVersion())
                        : OptionalLong.empty(),
                state.hasArmedVersion()
                        ? Optional.of(new ArmedMap(state.getArmedVersion(), state.getArmedStep()))
                        : Optional.empty(),
                state.hasHeldStep() ? OptionalLong.of(state.getHeldStep()) : OptionalLong.empty(),
                state.getBusy(),
                slowdown(state));
    }
}
