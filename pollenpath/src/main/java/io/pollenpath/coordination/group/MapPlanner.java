package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.serving.GroupShape;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/** Plans the next expert map of a group from the demand of its experts. */
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
     * Holds a plan.
     *
     * @param map the map
     * @param imbalanceNow the load of the most loaded rank under the present map, as a multiple of
     *     the mean, averaged over the sets of layers
     * @param imbalanceThen the same under the planned map
     * @param fetches the experts that ranks must fetch
     */
    public record Plan(ExpertMap map, double imbalanceNow, double imbalanceThen, int fetches) {

        /** Checks the components. */
        public Plan {
            Objects.requireNonNull(map, "map");
        }

        /**
         * Returns what the plan wins.
         *
         * @return the drop of the most loaded rank's load, in multiples of the mean
         */
        public double gain() {
            return imbalanceNow - imbalanceThen;
        }
    }

    /**
     * Plans a map that can be reached in one change.
     *
     * @param current the map in use, not null
     * @param shares the share of each expert in the choices of its set of layers, not null
     * @return the plan; its map may be the present one
     */
    public Plan plan(ExpertMap current, double[][] shares) {
        List<List<List<Integer>>> layers = new ArrayList<>();
        int[] fetches = new int[current.ranks()];
        double now = 0;
        double then = 0;
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
            now += balancer.mostLoad();
            layers.add(balancer.improve());
            then += balancer.mostLoad();
            fetches = balancer.allFetches();
        }
        ExpertMap map = new ExpertMap(layers);
        return new Plan(
                map, now / shares.length, then / shares.length, Arrays.stream(fetches).sum());
    }
}
