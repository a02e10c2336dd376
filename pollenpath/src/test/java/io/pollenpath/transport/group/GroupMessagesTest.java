package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
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

    static Stream<EngineCommand> orders() {
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
    @MethodSource("orders")
    void ordersComeBackEqual(EngineCommand order) throws InvalidProtocolBufferException {
        var command = GroupMessages.decodeCommand(GroupMessages.encode(order, "g", 3, 4));
        assertThat(GroupMessages.orderOf(command)).hasValue(order);
        assertThat(command.getGroup()).isEqualTo("g");
        assertThat(command.getEpoch()).isEqualTo(3);
        assertThat(command.getToken()).isEqualTo(4);
    }

    @Test
    void reportsComeBackEqual() throws InvalidProtocolBufferException {
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
                        true);
        RankReport report =
                new RankReport(
                        Optional.of(CommandResult.FENCED),
                        Optional.of(status),
                        new long[] {0, 1, 127},
                        List.of(List.of(1, 2)),
                        77,
                        250);
        RankReport back = GroupMessages.decodeReport(GroupMessages.encode(report));
        assertThat(back.status()).hasValue(status);
        assertThat(back.outcome()).hasValue(CommandResult.FENCED);
        assertThat(back.counts()).isEqualTo(new long[] {0, 1, 127});
        assertThat(back.experts()).containsExactly(List.of(1, 2));
        assertThat(back.deposes(1)).isTrue();
    }

    @Test
    void largeCountsKeepTheirSharesInAByteEach() throws InvalidProtocolBufferException {
        long[] counts = new long[1_728];
        for (int i = 0; i < counts.length; i++) {
            counts[i] = i * 7L;
        }
        RankReport report =
                new RankReport(Optional.empty(), Optional.empty(), counts, List.of(), 5, 250);
        byte[] encoded = GroupMessages.encode(report);
        assertThat(encoded.length).isAtMost(counts.length + 32);
        long[] back = GroupMessages.decodeReport(encoded).counts();
        long half = counts[counts.length - 1] / 127 / 2 + 1;
        for (int i = 0; i < counts.length; i++) {
            assertThat(Math.abs(back[i] - counts[i])).isAtMost(half);
        }
    }

    @Test
    void theMapOfALargeGroupTakesAboutAByteForEachSlot() {
        int slots = 12 * 72 * 3;
        List<List<Integer>> ranks =
                IntStream.range(0, 72).mapToObj(r -> List.of(2 * r, 2 * r + 1)).toList();
        ExpertMap map = new ExpertMap(Collections.nCopies(12, ranks));
        byte[] encoded = GroupMessages.encode(new EngineCommand.Prepare(1, map), "g", 3, 4);
        assertThat(encoded.length).isAtMost(slots + slots / 4);
    }

    @Test
    void anEmptyReportStaysEmpty() throws InvalidProtocolBufferException {
        RankReport report =
                new RankReport(Optional.empty(), Optional.empty(), new long[0], List.of(), 5, 250);
        RankReport back = GroupMessages.decodeReport(GroupMessages.encode(report));
        assertThat(back.status()).isEmpty();
        assertThat(back.outcome()).isEmpty();
        assertThat(back.deposes(5)).isFalse();
        assertThat(back.deposes(4)).isTrue();
    }
}
