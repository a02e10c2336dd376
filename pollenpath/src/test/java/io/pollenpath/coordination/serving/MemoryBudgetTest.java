package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MemoryBudgetTest {

    private static final long CAPACITY = 1_000_000;
    private static final long LARGE_CAPACITY = 750_000;
    private static final long SMALL = 10_000;

    private final MemoryBudget budget = new MemoryBudget(CAPACITY, SMALL);

    private static final class Owner implements MemoryBudget.Owner {
        private MemoryBudget.Share share;
        private int granted;
        private int cut;

        @Override
        public void onGranted() {
            granted++;
        }

        @Override
        public void onCut() {
            cut++;
            share.close();
        }
    }

    private Owner open(boolean mayBeCut) {
        Owner owner = new Owner();
        owner.share = budget.open(owner, mayBeCut);
        return owner;
    }

    @Test
    void largeBodiesWaitInTheirOrderAndSmallOnesDoNot() {
        Owner first = open(false);
        Owner second = open(false);
        Owner third = open(false);
        assertThat(first.share.reserve(700_000)).isTrue();
        assertThat(second.share.reserve(200_000)).isFalse();
        assertThat(third.share.reserve(40_000)).isTrue();
        assertThat(open(false).share.reserve(SMALL)).isTrue();
        Owner fourth = open(false);
        assertThat(fourth.share.reserve(600_000)).isFalse();
        first.share.close();
        assertThat(second.granted).isEqualTo(1);
        assertThat(fourth.granted).isEqualTo(0);
        second.share.close();
        third.share.close();
        assertThat(fourth.granted).isEqualTo(1);
    }

    @Test
    void whatCanNeverFitIsNotPossible() {
        assertThat(budget.isPossible(LARGE_CAPACITY)).isTrue();
        assertThat(budget.isPossible(LARGE_CAPACITY + 1)).isFalse();
    }

    /** Guards against answers that hold the memory without an end while others wait. */
    @Test
    void cutsTheLeastProvenAnswerAfterAStandstill() {
        Owner request = open(false);
        Owner named = open(true);
        Owner smaller = open(true);
        Owner unnamed = open(true);
        assertThat(request.share.reserve(200_000)).isTrue();
        assertThat(named.share.reserve(300_000)).isTrue();
        assertThat(smaller.share.cover(50_000)).isTrue();
        assertThat(unnamed.share.cover(150_000)).isTrue();
        Owner waiting = open(false);
        assertThat(waiting.share.reserve(200_000)).isFalse();
        assertThat(budget.onTick(0)).isEmpty();
        assertThat(budget.onTick(MemoryBudget.MAX_STANDSTILL_NANOS - 1)).isEmpty();
        assertThat(budget.onTick(MemoryBudget.MAX_STANDSTILL_NANOS)).hasValue(150_000L);
        assertThat(unnamed.cut).isEqualTo(1);
        assertThat(named.cut + smaller.cut + request.cut).isEqualTo(0);
        assertThat(waiting.granted).isEqualTo(1);
    }

    /** Guards against small bodies whose coming and going hides that nothing goes on. */
    @Test
    void smallBodiesDoNotCountAsProgress() {
        Owner unnamed = open(true);
        unnamed.share.cover(LARGE_CAPACITY);
        Owner waiting = open(false);
        assertThat(waiting.share.reserve(100_000)).isFalse();
        budget.onTick(0);
        Owner small = open(false);
        small.share.reserve(100);
        small.share.close();
        assertThat(budget.onTick(MemoryBudget.MAX_STANDSTILL_NANOS)).isPresent();
        assertThat(unnamed.cut).isEqualTo(1);
    }

    @Test
    void nothingIsCutWhileNobodyWaits() {
        open(true).share.cover(LARGE_CAPACITY);
        assertThat(budget.onTick(0)).isEmpty();
        assertThat(budget.onTick(10 * MemoryBudget.MAX_STANDSTILL_NANOS)).isEmpty();
    }

    /** Guards against bytes that stay counted, or are given back twice, in any order of calls. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void givesBackEachByteOnce(long seed) {
        Random random = new Random(seed);
        List<Owner> owners = new ArrayList<>();
        for (int step = 0; step < 20_000; step++) {
            if (owners.size() < 50) {
                owners.add(open(random.nextBoolean()));
            }
            Owner owner = owners.get(random.nextInt(owners.size()));
            switch (random.nextInt(6)) {
                case 0 -> owner.share.reserve(random.nextInt(200_000));
                case 1 -> owner.share.cover(owner.share.bytes() + random.nextInt(50_000));
                case 2 -> owner.share.shrink(random.nextInt(50_000));
                case 3 -> owner.share.stopWaiting();
                case 4 -> budget.onTick(step * MemoryBudget.MAX_STANDSTILL_NANOS);
                default -> {
                    owner.share.close();
                    owners.remove(owner);
                }
            }
            long sum = owners.stream().mapToLong(o -> o.share.bytes()).sum();
            assertThat(budget.usedBytes()).isEqualTo(sum);
        }
        List.copyOf(owners).forEach(owner -> owner.share.close());
        assertThat(budget.usedBytes()).isEqualTo(0);
        assertThat(budget.waiting()).isEqualTo(0);
    }
}
