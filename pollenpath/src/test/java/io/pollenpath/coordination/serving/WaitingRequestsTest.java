package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WaitingRequestsTest {

    private static final long LATE = 100;
    private static final long GIVE_UP = 1_000;

    private WaitingRequests<String> waiting;

    @BeforeEach
    void create() {
        waiting = new WaitingRequests<>();
    }

    private List<String> drain() {
        List<String> order = new ArrayList<>();
        while (waiting.first().isPresent()) {
            String next = waiting.first().get().request();
            waiting.remove(next);
            order.add(next);
        }
        return order;
    }

    @Test
    void ordersByRankThenReturningThenArrival() {
        waiting.add(1, false, LATE, GIVE_UP, "new");
        waiting.add(1, true, LATE, GIVE_UP, "returning");
        waiting.add(1, false, LATE, GIVE_UP, "newer");
        waiting.add(0, false, LATE, GIVE_UP, "urgent");
        assertThat(drain()).containsExactly("urgent", "returning", "new", "newer").inOrder();
    }

    @Test
    void putsRequestsBehindThatCanNoLongerBeOnTime() {
        waiting.add(1, false, LATE, GIVE_UP, "old");
        waiting.add(1, false, 5 * LATE, GIVE_UP, "young");
        waiting.demoteLate(LATE);
        assertThat(drain()).containsExactly("young", "old").inOrder();
    }

    @Test
    void removesWhatHasWaitedTooLong() {
        waiting.add(1, false, LATE, GIVE_UP, "old");
        waiting.add(1, false, LATE, 2 * GIVE_UP, "young");
        assertThat(waiting.removeExpired(GIVE_UP)).hasSize(1);
        assertThat(drain()).containsExactly("young");
    }

    @Test
    void removesADemotedRequest() {
        waiting.add(1, false, LATE, GIVE_UP, "old");
        waiting.demoteLate(LATE);
        assertThat(waiting.remove("old")).isTrue();
        assertThat(waiting.remove("old")).isFalse();
        assertThat(waiting.size()).isEqualTo(0);
    }
}
