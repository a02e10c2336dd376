package io.pollenpath.coordination.queue;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.PriorityClass;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FairAdmissionQueueTest {

    private static final long FAR_DEADLINE_NANOS = 1_000_000_000_000L;
    private static final long NANOS_PER_MS = 1_000_000;

    private static FairAdmissionQueue queue(int maxQueued, int perCustomer, int maxRunning) {
        return new FairAdmissionQueue(
                new QueueLimits(maxQueued, perCustomer, maxRunning, maxRunning / 4, 0, 0),
                new SplittableRandom(1));
    }

    private static WorkItem item(String id, String customer, PriorityClass priority, int tokens) {
        return new WorkItem(id, customer, priority, 1, tokens, FAR_DEADLINE_NANOS);
    }

    private static WorkItem itemWithDeadline(
            String id, String customer, int tokens, long deadlineNanos) {
        return new WorkItem(id, customer, PriorityClass.NORMAL, 1, tokens, deadlineNanos);
    }

    private static void measureServiceRate(FairAdmissionQueue queue, int tokens, long nanos) {
        queue.offer(item("learn", "learn", PriorityClass.URGENT, tokens), 0);
        queue.poll(0);
        queue.completed("learn", nanos);
    }

    @Test
    void fullQueueOfOneCustomerDoesNotRefuseAnother() {
        FairAdmissionQueue queue = queue(8, 4, 1);
        for (int i = 0; i < 10; i++) {
            queue.offer(item("a" + i, "a", PriorityClass.NORMAL, 10), 0);
        }
        assertThat(queue.size()).isEqualTo(4);
        Admission more = queue.offer(item("a10", "a", PriorityClass.NORMAL, 10), 0);
        assertThat(more.code()).isEqualTo("customer_queue_full");
        assertThat(more.retryAfterMs()).isAtLeast(200);
        assertThat(queue.offer(item("b", "b", PriorityClass.NORMAL, 10), 0).admitted()).isTrue();
    }

    @Test
    void fullQueueDisplacesBatchWorkOfTheLargestCustomerForUrgentWork() {
        FairAdmissionQueue queue = queue(4, 4, 1);
        queue.offer(item("a-batch", "a", PriorityClass.BATCH, 10), 0);
        queue.offer(item("a1", "a", PriorityClass.NORMAL, 10), 0);
        queue.offer(item("a2", "a", PriorityClass.NORMAL, 10), 0);
        queue.offer(item("b1", "b", PriorityClass.NORMAL, 10), 0);
        Admission urgent = queue.offer(item("b2", "b", PriorityClass.URGENT, 10), 0);
        assertThat(urgent.admitted()).isTrue();
        assertThat(urgent.displaced().map(WorkItem::requestId)).hasValue("a-batch");
        assertThat(queue.size()).isEqualTo(4);
    }

    @Test
    void refusesARequestThatCannotMeetItsDeadline() {
        FairAdmissionQueue queue = queue(100, 100, 1);
        measureServiceRate(queue, 100, 100 * NANOS_PER_MS);
        assertThat(
                        queue.offer(itemWithDeadline("first", "a", 100, 150 * NANOS_PER_MS), 0)
                                .admitted())
                .isTrue();
        Admission late = queue.offer(itemWithDeadline("late", "a", 100, 150 * NANOS_PER_MS), 0);
        assertThat(late.admitted()).isFalse();
        assertThat(late.code()).isEqualTo("deadline_unreachable");
        assertThat(late.retryAfterMs()).isAtLeast(50);
        assertThat(
                        queue.offer(itemWithDeadline("later", "a", 100, 250 * NANOS_PER_MS), 0)
                                .admitted())
                .isTrue();
    }

    @Test
    void removesAQueuedRequestWhenItsLatestStartHasPassed() {
        FairAdmissionQueue queue = queue(100, 100, 1);
        measureServiceRate(queue, 100, 100 * NANOS_PER_MS);
        queue.offer(itemWithDeadline("a", "a", 100, 150 * NANOS_PER_MS), 0);
        assertThat(queue.removeExpired(49 * NANOS_PER_MS)).isEmpty();
        List<WorkItem> expired = queue.removeExpired(50 * NANOS_PER_MS);
        assertThat(expired).hasSize(1);
        assertThat(queue.size()).isEqualTo(0);
        assertThat(queue.removeExpired(500 * NANOS_PER_MS)).isEmpty();
    }

    @Test
    void changedShareAppliesToQueuedRequests() {
        FairAdmissionQueue queue = queue(100, 50, 64);
        for (int i = 0; i < 12; i++) {
            queue.offer(item("a" + i, "a", PriorityClass.NORMAL, 10), 0);
            queue.offer(item("b" + i, "b", PriorityClass.NORMAL, 10), 0);
        }
        queue.updateShare("a", 3);
        int servedA = 0;
        for (int i = 0; i < 12; i++) {
            servedA += queue.poll(0).get().customer().equals("a") ? 1 : 0;
        }
        assertThat(servedA).isEqualTo(9);
    }

    @Test
    void routineWorkLeavesSlotsForUrgentWork() {
        FairAdmissionQueue queue = queue(100, 100, 4);
        for (int i = 0; i < 8; i++) {
            queue.offer(item("b" + i, "b", PriorityClass.BATCH, 10), 0);
        }
        int started = 0;
        while (queue.poll(0).isPresent()) {
            started++;
        }
        assertThat(started).isEqualTo(3);
        queue.offer(item("u", "a", PriorityClass.URGENT, 10), 0);
        assertThat(queue.poll(0).map(WorkItem::requestId)).hasValue("u");
        assertThat(queue.poll(0)).isEmpty();
    }

    @Test
    void urgentWorkAboveTheShareLeavesSlotsForOthers() {
        FairAdmissionQueue queue =
                new FairAdmissionQueue(
                        new QueueLimits(100, 100, 8, 1, 4, 0), new SplittableRandom(1));
        queue.offer(item("other", "b", PriorityClass.URGENT, 10), 0);
        for (int i = 0; i < 12; i++) {
            queue.offer(item("a" + i, "a", PriorityClass.URGENT, 10), 0);
        }
        int started = 0;
        while (queue.poll(0).isPresent()) {
            started++;
        }
        assertThat(started).isLessThan(8);
        queue.offer(item("late", "b", PriorityClass.URGENT, 10), 0);
        assertThat(queue.poll(0).map(WorkItem::requestId)).hasValue("late");
    }
}
