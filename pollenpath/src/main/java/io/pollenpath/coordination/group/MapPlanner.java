package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.serving.GroupShape;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Plans the next expert map of a group from the demand for its experts, under any load on the
 * group.
 *
 * <p>A change that fetches more lets the group wait longer for the balance. The planner therefore
 * drafts changes with more and more fetches for each rank, and takes the one after which the group
 * has lost least to imbalance by the time that a following change has made up for the rest.
 */
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
     * @param maxFetches the number of experts to fetch of the rank that has most of them
     */
    public record Plan(
            ExpertMap map, double imbalanceNow, double imbalanceThen, int fetches, int maxFetches) {

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
     * @param slowdowns how many times longer each rank takes for its work than usual, not null
     * @param cost the time that a change takes, not null
     * @return the plan; its map may equal the current one
     */
    public Plan plan(ExpertMap current, double[][] shares, double[] slowdowns, ChangeCost cost) {
        RankFetches fetches = new RankFetches(current.ranks());
        List<LayerBalancer> balancers = balancers(current, shares, slowdowns, fetches);
        double imbalanceNow = imbalance(balancers);
        List<Plan> plans = new ArrayList<>();
        do {
            fetches.raiseLimit();
            improve(balancers);
            ExpertMap map =
                    new ExpertMap(balancers.stream().map(LayerBalancer::placement).toList());
            plans.add(
                    new Plan(
                            map, imbalanceNow, imbalance(balancers), fetches.sum(), fetches.max()));
        } while (fetches.isLimitReached());
        return choose(plans, cost);
    }

    private List<LayerBalancer> balancers(
            ExpertMap current, double[][] shares, double[] slowdowns, RankFetches fetches) {
        List<LayerBalancer> balancers = new ArrayList<>();
        for (int layer = 0; layer < shares.length; layer++) {
            double[] demand = new double[shares[layer].length];
            for (int expert = 0; expert < demand.length; expert++) {
                demand[expert] = shares[layer][expert] * current.ranks();
            }
            balancers.add(
                    new LayerBalancer(
                            current.layers().get(layer),
                            demand,
                            slowdowns,
                            shape.slotsPerRank(),
                            shape.maxNewPerChange(),
                            fetches));
        }
        return balancers;
    }

    /** Improves the worst set of layers again and again, as far as the limits allow. */
    private static void improve(List<LayerBalancer> balancers) {
        List<LayerBalancer> open = new ArrayList<>(balancers);
        while (!open.isEmpty()) {
            LayerBalancer worst = open.get(0);
            for (LayerBalancer balancer : open) {
                worst = balancer.maxLoad() > worst.maxLoad() ? balancer : worst;
            }
            if (!worst.improveOnce()) {
                open.remove(worst);
            }
        }
    }

    private static double imbalance(List<LayerBalancer> balancers) {
        return balancers.stream().mapToDouble(LayerBalancer::maxLoad).average().orElse(1);
    }

    /** Returns the first plan among those with the least loss; the plans have ever more fetches. */
    private static Plan choose(List<Plan> plans, ChangeCost cost) {
        Plan last = plans.get(plans.size() - 1);
        Plan best = last;
        double leastLoss = Double.POSITIVE_INFINITY;
        for (Plan plan : plans) {
            double loss = loss(plan, last, cost);
            if (loss < leastLoss) {
                best = plan;
                leastLoss = loss;
            }
        }
        return best;
    }

    /**
     * Returns the imbalance in excess of that of the last plan, over the time of the change and of
     * a following one that makes the remaining fetches.
     */
    private static double loss(Plan plan, Plan last, ChangeCost cost) {
        double excessNow = plan.imbalanceNow() - last.imbalanceThen();
        double excessThen = plan.imbalanceThen() - last.imbalanceThen();
        int remaining = Math.max(0, last.maxFetches() - plan.maxFetches());
        return cost.changeMs(plan.maxFetches()) * excessNow + cost.changeMs(remaining) * excessThen;
    }
}
