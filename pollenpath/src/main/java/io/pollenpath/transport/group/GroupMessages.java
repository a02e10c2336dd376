package io.pollenpath.transport.group;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.protocol.wire.ArmMap;
import io.pollenpath.protocol.wire.CommandOutcome;
import io.pollenpath.protocol.wire.DisarmMap;
import io.pollenpath.protocol.wire.ExpertList;
import io.pollenpath.protocol.wire.HoldStep;
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
import io.pollenpath.state.group.RankStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Turns the calls between agents into protobuf messages and back. */
final class GroupMessages {

    private static final int EMPTY_SLOT = 0;

    /** The most that one count may be, so that it takes one byte. */
    private static final long MAX_UNITS = 127;

    private GroupMessages() {}

    static byte[] encode(RankQuestion question) {
        return RankQuery.newBuilder()
                .setGroup(question.group())
                .setToken(question.token())
                .setWithCounts(question.withCounts())
                .setWithExperts(question.withExperts())
                .build()
                .toByteArray();
    }

    static RankQuestion decodeQuestion(byte[] bytes) throws InvalidProtocolBufferException {
        RankQuery query = RankQuery.parseFrom(bytes);
        return new RankQuestion(
                query.getGroup(), query.getToken(), query.getWithCounts(), query.getWithExperts());
    }

    static byte[] encode(EngineCommand order, String group, long epoch, long token) {
        RankCommand.Builder command =
                RankCommand.newBuilder().setGroup(group).setToken(token).setEpoch(epoch);
        if (order instanceof EngineCommand.Prepare prepare) {
            command.setPrepare(encodePrepare(prepare));
        } else if (order instanceof EngineCommand.Hold hold) {
            command.setHold(HoldStep.newBuilder().setStep(hold.step()));
        } else if (order instanceof EngineCommand.Arm arm) {
            command.setArm(ArmMap.newBuilder().setVersion(arm.version()).setStep(arm.step()));
        } else if (order instanceof EngineCommand.Release release) {
            command.setRelease(ReleaseStep.newBuilder().setStep(release.step()));
        } else if (order instanceof EngineCommand.Disarm disarm) {
            command.setDisarm(DisarmMap.newBuilder().setVersion(disarm.version()));
        }
        return command.build().toByteArray();
    }

    private static PrepareMap encodePrepare(EngineCommand.Prepare prepare) {
        PrepareMap.Builder map = PrepareMap.newBuilder().setVersion(prepare.version());
        prepare.map().layers().forEach(ranks -> map.addLayers(encodeLayer(ranks)));
        return map.build();
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

    private static ExpertList encodeList(List<Integer> experts) {
        return ExpertList.newBuilder().addAllExperts(experts).build();
    }

    static RankCommand decodeCommand(byte[] bytes) throws InvalidProtocolBufferException {
        return RankCommand.parseFrom(bytes);
    }

    /** Returns the order of a command; empty if this version does not know it. */
    static Optional<EngineCommand> orderOf(RankCommand command) {
        return switch (command.getOrderCase()) {
            case PREPARE -> Optional.of(decodePrepare(command.getPrepare()));
            case HOLD -> Optional.of(new EngineCommand.Hold(command.getHold().getStep()));
            case ARM ->
                    Optional.of(
                            new EngineCommand.Arm(
                                    command.getArm().getVersion(), command.getArm().getStep()));
            case RELEASE -> Optional.of(new EngineCommand.Release(command.getRelease().getStep()));
            case DISARM -> Optional.of(new EngineCommand.Disarm(command.getDisarm().getVersion()));
            case ORDER_NOT_SET -> Optional.empty();
        };
    }

    private static EngineCommand decodePrepare(PrepareMap prepare) {
        List<List<List<Integer>>> layers = new ArrayList<>();
        for (LayerExperts layer : prepare.getLayersList()) {
            layers.add(decodeLayer(layer));
        }
        return new EngineCommand.Prepare(prepare.getVersion(), new ExpertMap(layers));
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
                        .setLeaderHeardMs(report.leaderHeardMs());
        report.outcome().ifPresent(outcome -> reply.setOutcome(encodeOutcome(outcome)));
        report.status().ifPresent(status -> reply.setState(encodeState(status)));
        encodeCounts(report.counts(), reply);
        report.experts().forEach(list -> reply.addExperts(encodeList(list)));
        return reply.build().toByteArray();
    }

    /** Rounds the counts to units, since only their shares matter. */
    private static void encodeCounts(long[] counts, RankReply.Builder reply) {
        long most = Arrays.stream(counts).max().orElse(0);
        long unit = Math.max(1, (most + MAX_UNITS - 1) / MAX_UNITS);
        reply.setCountUnit(unit);
        for (long count : counts) {
            reply.addChosen((int) ((count + unit / 2) / unit));
        }
    }

    private static long[] decodeCounts(RankReply reply) {
        long unit = reply.getCountUnit();
        return reply.getChosenList().stream().mapToLong(units -> units * unit).toArray();
    }

    private static CommandOutcome encodeOutcome(CommandResult outcome) {
        return switch (outcome) {
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
                        .setBusy(status.busy());
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
                state.getBusy());
    }
}
