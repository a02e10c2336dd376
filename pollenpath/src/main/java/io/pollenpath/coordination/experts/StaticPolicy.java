package io.pollenpath.coordination.experts;

/** Never moves an expert, and gives each replica the same share. */
public final class StaticPolicy implements RebalancePolicy {

    @Override
    public LayerPlacement plan(LayerPlacement current, double[] forecast, double persistence) {
        return current;
    }

    @Override
    public boolean adjustsShares() {
        return false;
    }
}
