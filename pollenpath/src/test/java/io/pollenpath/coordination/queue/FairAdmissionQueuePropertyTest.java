package io.pollenpath.coordination.queue;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.PriorityClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class FairAdmissionQueuePropertyTest {

    private static final long FAR_DEADLINE_NANOS = 1_000_000_000_000L;
    private static final int SLOTS = 4;

    private static FairAdmissionQueue queue(SplittableRandom random) {
        return new FairAdmissionQueue(new QueueLimits(40, 20, SLOTS, 0, 0, 0), random);
    }

    private static WorkItem item(int id, SplittableRandom random) {
        PriorityClass[] classes = PriorityClass.values();
        return new WorkItem(
                "r" + id,
                "c" + random.nextInt(4),
                classes[random.nextInt(classes.length)],
                1,
                1 + random.nextInt(50),
                FAR_DEADLINE_NANOS);
    }

    @Property(tries = 200, seed = "1")
    void startsEachRequestAtMostOnceAndNeverIdles(@ForAll @IntRange(max = 100_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairAdmissionQueue queue = queue(random);
        Map<String, PriorityClass> queued = new HashMap<>();
        List<String> running = new ArrayList<>();
        Set<String> started = new HashSet<>();
        for (int step = 0; step < 300; step++) {
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    WorkItem item = item(step, random);
                    Admission admission = queue.offer(item, step);
                    if (admission.admitted()) {
                        queued.put(item.requestId(), item.priority());
                    }
                    admission
                            .displaced()
                            .ifPresent(displaced -> queued.remove(displaced.requestId()));
                }
                case 2 -> {
                    if (!running.isEmpty()) {
                        queue.completed(running.remove(0), step);
                    }
                    String any = "r" + random.nextInt(step + 1);
                    assertThat(queue.remove(any)).isEqualTo(queued.remove(any) != null);
                }
                default -> {
                    boolean mayStart = running.size() < SLOTS && !queued.isEmpty();
                    Optional<WorkItem> next = queue.poll(step);
                    assertThat(next.isPresent()).isEqualTo(mayStart);
                    if (next.isPresent()) {
                        boolean urgentQueued = queued.containsValue(PriorityClass.URGENT);
                        boolean urgent = next.get().priority() == PriorityClass.URGENT;
                        assertThat(urgent).isEqualTo(urgentQueued);
                        assertThat(started.add(next.get().requestId())).isTrue();
                        assertThat(queued.remove(next.get().requestId())).isNotNull();
                        running.add(next.get().requestId());
                    }
                }
            }
            assertThat(queue.size()).isEqualTo(queued.size());
        }
    }

    @Property(tries = 100, seed = "2")
    void backloggedCustomersAreServedWithinOneRequestOfTheirShares(
            @ForAll @IntRange(min = 1, max = 8) int shareA,
            @ForAll @IntRange(min = 1, max = 8) int shareB,
            @ForAll @IntRange(max = 100_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairAdmissionQueue queue =
                new FairAdmissionQueue(new QueueLimits(400, 200, 400, 0, 0, 0), random);
        int largest = 50;
        for (int i = 0; i < 200; i++) {
            int tokens = 1 + random.nextInt(largest);
            queue.offer(
                    new WorkItem(
                            "a" + i, "a", PriorityClass.NORMAL, shareA, tokens, FAR_DEADLINE_NANOS),
                    0);
            queue.offer(
                    new WorkItem(
                            "b" + i, "b", PriorityClass.NORMAL, shareB, 25, FAR_DEADLINE_NANOS),
                    0);
        }
        double servedA = 0;
        double servedB = 0;
        double bound = (double) largest / shareA + 25.0 / shareB;
        for (int i = 0; i < 150; i++) {
            WorkItem next = queue.poll(0).get();
            if (next.customer().equals("a")) {
                servedA += next.costTokens() / (double) shareA;
            } else {
                servedB += next.costTokens() / (double) shareB;
            }
            assertThat(Math.abs(servedA - servedB)).isAtMost(bound + 1e-9);
        }
    }
}
