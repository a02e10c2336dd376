package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.ExpertMapChanges;
import io.pollenpath.state.group.RankStatus;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class GroupMessagesTest {

    static Stream<EngineCommand> commands() {
        ExpertMap map =
                new ExpertMap(
                        List.of(
                                List.of(List.of(0, 2), List.of(1)),
                                List.of(List.of(1), List.of(0, 2))));
        return Stream.of(
                new EngineCommand.Prepare(1L << 40, map),
                new EngineCommand.Hold(7),
                new EngineCommand.Arm(8, 9),
                new EngineCommand.Release(10),
                new EngineCommand.Disarm(11));
    }

    @ParameterizedTest
    @MethodSource("commands")
    void decodedCommandsAreEqual(EngineCommand command) throws InvalidProtocolBufferException {
        var message = GroupMessages.decodeCommand(GroupMessages.encode(command, "g", 3, 4));
        assertThat(GroupMessages.toEngineCommand(message, new RecentMaps())).hasValue(command);
        assertThat(message.getGroup()).isEqualTo("g");
        assertThat(message.getEpoch()).isEqualTo(3);
        assertThat(message.getToken()).isEqualTo(4);
    }

    @Test
    void decodedReportsAreEqual() throws InvalidProtocolBufferException {
        RankStatus status =
                new RankStatus(
                        "g",
                        2,
                        1,
                        4,
                        true,
                        99,
                        5,
                        OptionalLong.of(6),
                        Optional.of(new ArmedMap(6, 120)),
                        OptionalLong.of(120),
                        true,
                        2.5);
        RankReport report =
                new RankReport(
                        Optional.of(CommandResult.FENCED),
                        Optional.of(status),
                        new long[] {0, 1, 127},
                        List.of(List.of(1, 2)),
                        77,
                        250);
        RankReport decoded = GroupMessages.decodeReport(GroupMessages.encode(report));
        assertThat(decoded.status()).hasValue(status);
        assertThat(decoded.outcome()).hasValue(CommandResult.FENCED);
        assertThat(decoded.counts()).isEqualTo(new long[] {0, 1, 127});
        assertThat(decoded.experts()).containsExactly(List.of(1, 2));
        assertThat(decoded.supersedes(1)).isTrue();
    }

    @Test
    void largeCountsKeepTheirRatiosInOneByteEach() throws InvalidProtocolBufferException {
        long[] counts = new long[1_728];
        for (int i = 0; i < counts.length; i++) {
            counts[i] = i * 7L;
        }
        RankReport report =
                new RankReport(Optional.empty(), Optional.empty(), counts, List.of(), 5, 250);
        byte[] encoded = GroupMessages.encode(report);
        assertThat(encoded.length).isAtMost(counts.length + 32);
        long[] decoded = GroupMessages.decodeReport(encoded).counts();
        long half = counts[counts.length - 1] / 127 / 2 + 1;
        for (int i = 0; i < counts.length; i++) {
            assertThat(Math.abs(decoded[i] - counts[i])).isAtMost(half);
        }
    }

    @Test
    void theMapOfALargeGroupTakesAboutOneBytePerSlot() {
        int slots = 12 * 72 * 3;
        List<List<Integer>> ranks =
                IntStream.range(0, 72).mapToObj(r -> List.of(2 * r, 2 * r + 1)).toList();
        ExpertMap map = new ExpertMap(Collections.nCopies(12, ranks));
        byte[] encoded = GroupMessages.encode(new EngineCommand.Prepare(1, map), "g", 3, 4);
        assertThat(encoded.length).isAtMost(slots + slots / 4);
    }

    @Test
    void aDecodedEmptyReportIsEmpty() throws InvalidProtocolBufferException {
        RankReport report =
                new RankReport(Optional.empty(), Optional.empty(), new long[0], List.of(), 5, 250);
        RankReport decoded = GroupMessages.decodeReport(GroupMessages.encode(report));
        assertThat(decoded.status()).isEmpty();
        assertThat(decoded.outcome()).isEmpty();
        assertThat(decoded.supersedes(5)).isFalse();
        assertThat(decoded.supersedes(4)).isTrue();
    }

    private static ExpertMap mapOf(int firstExpert) {
        return new ExpertMap(
                List.of(
                        List.of(List.of(firstExpert, 2), List.of(1, 3)),
                        List.of(List.of(1, 3), List.of(0, 2))));
    }

    private static byte[] encodedChanges(ExpertMap base, ExpertMap target) {
        return GroupMessages.encodeChanges(
                new EngineCommand.Prepare(9, target),
                ExpertMapChanges.between(base, target),
                8,
                "g",
                3,
                4);
    }

    @Test
    void changesOfAKnownMapAreDecodedToTheWholeMap() throws InvalidProtocolBufferException {
        RecentMaps known = new RecentMaps();
        known.add(8, mapOf(0));
        var message = GroupMessages.decodeCommand(encodedChanges(mapOf(0), mapOf(5)));
        assertThat(GroupMessages.toEngineCommand(message, known))
                .hasValue(new EngineCommand.Prepare(9, mapOf(5)));
    }

    @Test
    void changesOfAnUnknownMapAreNoCommand() throws InvalidProtocolBufferException {
        var message = GroupMessages.decodeCommand(encodedChanges(mapOf(0), mapOf(5)));
        assertThat(GroupMessages.toEngineCommand(message, new RecentMaps())).isEmpty();
    }

    /** A map that differs from the leader's under the same version must never reach an engine. */
    @Test
    void changesOfADifferentMapOfTheSameVersionAreNoCommand()
            throws InvalidProtocolBufferException {
        RecentMaps known = new RecentMaps();
        known.add(
                8,
                new ExpertMap(
                        List.of(
                                List.of(List.of(0, 2), List.of(1, 4)),
                                List.of(List.of(1, 3), List.of(0, 2)))));
        var message = GroupMessages.decodeCommand(encodedChanges(mapOf(0), mapOf(5)));
        assertThat(GroupMessages.toEngineCommand(message, known)).isEmpty();
    }
}
