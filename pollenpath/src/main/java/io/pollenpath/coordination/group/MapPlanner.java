package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.serving.GroupShape;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/** Plans the next expert map of a group from the demand for its experts. */
public final class MapPlanner {

    private final GroupShape shape;

    /**
     * Creates a planner.
     *
     * @param shape the shape of the group, not null
     */
    public MapPlanner(GroupShape shape) {
        this.shape = Objects.requireNonNull(shape, "shape");
    }

    /**
     * A planned map with its effect on the load and the fetches that it needs.
     *
     * @param map the map
     * @param imbalanceNow the load of the most loaded rank under the current map, as a multiple of
     *     the mean, averaged over the sets of layers
     * @param imbalanceThen the same under the planned map
     * @param fetches the number of experts to fetch, summed over the ranks
     */
    public record Plan(ExpertMap map, double imbalanceNow, double imbalanceThen, int fetches) {

        /** Checks the components. */
        public Plan {
            Objects.requireNonNull(map, "map");
        }

        /**
         * Returns how much the plan reduces the load of the most loaded rank.
         *
         * @return the reduction, in multiples of the mean
         */
        public double gain() {
            return imbalanceNow - imbalanceThen;
        }
    }

    /**
     * Plans a map that the group can switch to in one change.
     *
     * @param current the active map, not null
     * @param shares the share of each expert in the selections of its set of layers, not null
     * @return the plan; its map may equal the current one
     */
    public Plan plan(ExpertMap current, double[][] shares) {
        List<List<List<Integer>>> layers = new ArrayList<>();
        int[] fetches = new int[current.ranks()];
        double imbalanceNow = 0;
        double imbalanceThen = 0;
        for (int layer = 0; layer < shares.length; layer++) {
            double[] demand = new double[shares[layer].length];
            for (int expert = 0; expert < demand.length; expert++) {
                demand[expert] = shares[layer][expert] * current.ranks();
            }
            LayerBalancer balancer =
                    new LayerBalancer(
                            current.layers().get(layer),
                            demand,
                            shape.slotsPerRank(),
                            shape.maxNewPerChange(),
                            fetches);
            imbalanceNow += balancer.maxLoad();
            layers.add(balancer.improve());
            imbalanceThen += balancer.maxLoad();
            fetches = balancer.totalFetches();
        }
        ExpertMap map = new ExpertMap(layers);
        return new Plan(
                map,
                imbalanceNow / shares.length,
                imbalanceThen / shares.length,
                Arrays.stream(fetches).sum());
    }
}
