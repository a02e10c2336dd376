package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.GroupMap;
import io.pollenpath.state.group.OrderOutcome;
import io.pollenpath.state.group.RankOrder;
import io.pollenpath.state.group.RankStatus;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class GroupMessagesTest {

    static Stream<RankOrder> orders() {
        GroupMap map =
                new GroupMap(
                        List.of(
                                List.of(List.of(0, 2), List.of(1)),
                                List.of(List.of(1), List.of(0, 2))));
        return Stream.of(
                new RankOrder.Prepare(1L << 40, map),
                new RankOrder.Hold(7),
                new RankOrder.Arm(8, 9),
                new RankOrder.Release(10),
                new RankOrder.Disarm(11));
    }

    @ParameterizedTest
    @MethodSource("orders")
    void ordersComeBackEqual(RankOrder order) throws InvalidProtocolBufferException {
        var command = GroupMessages.decodeCommand(GroupMessages.encode(order, 3, 4));
        assertThat(GroupMessages.orderOf(command)).hasValue(order);
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
                        Optional.of(OrderOutcome.FENCED),
                        Optional.of(status),
                        new long[] {1, 1L << 33},
                        List.of(List.of(1, 2)),
                        77,
                        250);
        RankReport back = GroupMessages.decodeReport(GroupMessages.encode(report));
        assertThat(back.status()).hasValue(status);
        assertThat(back.outcome()).hasValue(OrderOutcome.FENCED);
        assertThat(back.counts()).isEqualTo(new long[] {1, 1L << 33});
        assertThat(back.experts()).containsExactly(List.of(1, 2));
        assertThat(back.deposes(1)).isTrue();
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
