package io.pollenpath.coordination.routing;

/**
 * Fixed-size table of the prefixes that a server has probably cached. A newer prefix replaces an
 * older one with the same slot. Reads take no lock, so other threads may see a prefix with a delay.
 */
final class PrefixTable {

    private static final int SIZE = 256;
    private static final int MASK = SIZE - 1;
    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 40;

    private final long[] prefixes = new long[SIZE];
    private final long[] seenNanos = new long[SIZE];

    private static int slot(long prefix) {
        return (int) ((prefix * MIX) >>> SHIFT) & MASK;
    }

    void note(long prefix, long nowNanos) {
        if (prefix != 0) {
            int slot = slot(prefix);
            seenNanos[slot] = nowNanos;
            prefixes[slot] = prefix;
        }
    }

    boolean holds(long prefix, long nowNanos, long lifeNanos) {
        int slot = slot(prefix);
        return prefix != 0 && prefixes[slot] == prefix && nowNanos - seenNanos[slot] < lifeNanos;
    }
}
