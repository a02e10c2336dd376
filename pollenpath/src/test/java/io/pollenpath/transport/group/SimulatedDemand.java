package io.pollenpath.transport.group;

import io.pollenpath.state.group.ExpertMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The selections of the experts of a group: the popularity falls with the rank of an expert in each
 * set of layers, and a shift exchanges the popularity of a part of the experts.
 */
final class SimulatedDemand {

    private final Random random;
    private final double popularityExponent;
    private final double[][] shares;

    SimulatedDemand(int layers, int experts, double popularityExponent, Random random) {
        this.random = random;
        this.popularityExponent = popularityExponent;
        shares = new double[layers][];
        for (int layer = 0; layer < layers; layer++) {
            shares[layer] = newShares(experts);
        }
    }

    private double[] newShares(int experts) {
        List<Double> popularity = new ArrayList<>();
        double sum = 0;
        for (int expert = 0; expert < experts; expert++) {
            double value = Math.pow(expert + 1.0, -popularityExponent);
            popularity.add(value);
            sum += value;
        }
        Collections.shuffle(popularity, random);
        double[] result = new double[experts];
        for (int expert = 0; expert < experts; expert++) {
            result[expert] = popularity.get(expert) / sum;
        }
        return result;
    }

    /** Exchanges the popularity of a part of the experts in each set of layers. */
    void shift(double fraction) {
        for (double[] layer : shares) {
            List<Integer> chosen = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            for (int expert = 0; expert < layer.length; expert++) {
                if (random.nextDouble() < fraction) {
                    chosen.add(expert);
                    values.add(layer[expert]);
                }
            }
            Collections.shuffle(values, random);
            for (int i = 0; i < chosen.size(); i++) {
                layer[chosen.get(i)] = values.get(i);
            }
        }
    }

    /** Returns the share of an expert in the selections of its set of layers. */
    double share(int layer, int expert) {
        return shares[layer][expert];
    }

    /**
     * Returns the load of the most loaded rank, in multiples of the mean over the ranks, where each
     * rank takes a number of times as long as usual.
     */
    double imbalance(ExpertMap map, double[] slowdowns) {
        double sum = 0;
        for (int layer = 0; layer < shares.length; layer++) {
            sum += maxLoad(map.layers().get(layer), shares[layer], slowdowns);
        }
        return sum / shares.length;
    }

    private static double maxLoad(
            List<List<Integer>> ranks, double[] layerShares, double[] slowdowns) {
        int[] replicas = new int[layerShares.length];
        ranks.forEach(experts -> experts.forEach(expert -> replicas[expert]++));
        double max = 0;
        for (int rank = 0; rank < ranks.size(); rank++) {
            double load = 0;
            for (int expert : ranks.get(rank)) {
                load += layerShares[expert] / replicas[expert];
            }
            max = Math.max(max, load * ranks.size() * slowdowns[rank]);
        }
        return max;
    }
}
