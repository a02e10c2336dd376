package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.serving.GroupShape;
import java.util.List;
import org.junit.jupiter.api.Test;

class RebalanceRuleTest {

    private static final GroupShape SHAPE = new GroupShape(1, 4, 4, 2, 0.85, 150);

    private static final ExpertMap MAP =
            new ExpertMap(List.of(List.of(List.of(0, 1, 2, 3), List.of(0, 1, 2, 3))));

    private static boolean isWorthwhile(double gain, int fetches) {
        MapPlanner.Plan plan = new MapPlanner.Plan(MAP, 1 + gain, 1, fetches, fetches);
        return RebalanceRule.isWorthwhile(plan, SHAPE);
    }

    @Test
    void asksForAGain() {
        assertThat(isWorthwhile(0, 0)).isFalse();
        assertThat(isWorthwhile(0.05, 1)).isFalse();
        assertThat(isWorthwhile(0.5, 1)).isTrue();
    }

    /** All experts of a slow rank have a replica elsewhere, so it only needs to drop its own. */
    @Test
    void acceptsAPlanThatFetchesNothing() {
        double[][] shares = {{0.25, 0.25, 0.25, 0.25}};
        MapPlanner.Plan plan =
                new MapPlanner(SHAPE)
                        .plan(MAP, shares, new double[] {1, 8}, new ChangeCost(250, 150));
        assertThat(plan.fetches()).isEqualTo(0);
        assertThat(plan.imbalanceThen()).isAtMost(2.0);
        assertThat(RebalanceRule.isWorthwhile(plan, SHAPE)).isTrue();
    }
}
