package io.pollenpath.coordination.experts;

/** Never moves an expert, and gives all replicas of an expert the same share. */
public final class StaticPolicy implements RebalancePolicy {

    @Override
    public LayerPlacement plan(LayerPlacement current, double[] forecast, double horizon) {
        return current;
    }

    @Override
    public boolean adjustsShares() {
        return false;
    }
}
