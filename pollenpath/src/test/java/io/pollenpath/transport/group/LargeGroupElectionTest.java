package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.state.serving.GroupShape;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LargeGroupElectionTest {

    private static final GroupShape SHAPE = new GroupShape(12, 144, 3, 2, 0.85, 32);
    private static final VmCapacity CAPACITY = new VmCapacity(0.45, 700_000);
    private static final long SETTLE_MS = 3_000;
    private static final long ELECTION_MS = 2_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void agentsThatMissTheSameLeaderReplaceItOnce(long seed) {
        LargeGroupFixture group = new LargeGroupFixture(72, SHAPE, CAPACITY, seed);
        group.start();
        group.run(SETTLE_MS);
        assertThat(group.claims()).isEqualTo(1);
        group.cutOffLeader();
        group.run(ELECTION_MS);
        assertThat(group.claims()).isEqualTo(2);
    }
}
