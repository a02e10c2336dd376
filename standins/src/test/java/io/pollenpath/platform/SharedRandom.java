package io.pollenpath.platform;

import java.util.SplittableRandom;

/** A seeded source of random numbers that several threads share. */
final class SharedRandom {

    private final SplittableRandom random;

    SharedRandom(long seed) {
        random = new SplittableRandom(seed);
    }

    synchronized double nextDouble() {
        return random.nextDouble();
    }

    synchronized int nextInt(int bound) {
        return random.nextInt(bound);
    }
}
