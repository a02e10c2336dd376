package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.serving.Route;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StopPolicyTest {

    private final StopPolicy policy = new StopPolicy();
    private final Route route = ServingFixtures.stream(false, 2);

    private boolean isTooLate(long timeLeftMs) {
        policy.onStop(TimeUnit.MILLISECONDS.toNanos(timeLeftMs));
        return policy.isTooLate(route, 0);
    }

    @Test
    void nothingIsTooLateWithoutAStop() {
        policy.onAnswered(route, route.timeoutMs());
        assertThat(policy.isTooLate(route, Long.MAX_VALUE)).isFalse();
    }

    @Test
    void expectsTheLongestOfTheLatestAnswers() {
        policy.onAnswered(route, 900);
        policy.onAnswered(route, 100);
        assertThat(isTooLate(1_000)).isTrue();
        assertThat(isTooLate(1_200)).isFalse();
        for (int i = 0; i < StopPolicy.REMEMBERED_ANSWERS; i++) {
            policy.onAnswered(route, 100);
        }
        assertThat(isTooLate(400)).isFalse();
    }

    @Test
    void expectsHalfOfTheTimeoutWithoutAnswers() {
        assertThat(isTooLate(route.timeoutMs() / 2)).isTrue();
        assertThat(isTooLate(route.timeoutMs())).isFalse();
    }
}
