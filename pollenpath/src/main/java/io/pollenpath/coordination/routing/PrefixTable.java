package io.pollenpath.coordination.routing;

/**
 * Fixed-size table of the prefixes that a server has probably cached. A newer prefix replaces an
 * older one with the same slot. Reads take no lock, so other threads may see a prefix with a delay.
 */
final class PrefixTable {

    private static final int SLOTS = 256;
    private static final int SLOT_MASK = SLOTS - 1;
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HASH_SHIFT = 40;

    private final long[] prefixes = new long[SLOTS];
    private final long[] lastSeenNanos = new long[SLOTS];

    private static int slot(long prefix) {
        return (int) ((prefix * HASH_MULTIPLIER) >>> HASH_SHIFT) & SLOT_MASK;
    }

    void record(long prefix, long nowNanos) {
        if (prefix != 0) {
            int slot = slot(prefix);
            lastSeenNanos[slot] = nowNanos;
            prefixes[slot] = prefix;
        }
    }

    boolean contains(long prefix, long nowNanos, long ttlNanos) {
        int slot = slot(prefix);
        return prefix != 0 && prefixes[slot] == prefix && nowNanos - lastSeenNanos[slot] < ttlNanos;
    }
}
