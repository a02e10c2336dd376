package io.pollenpath.bench.measure;

import io.pollenpath.coordination.queue.WorkItem;
import io.pollenpath.state.PriorityClass;
import java.util.function.IntConsumer;

/** A request of a simulated caller and the progress of its last attempt. */
final class FakeRequest {

    final String id;
    final FakeCustomer customer;
    final PriorityClass priority;
    final long prefix;
    final int prefixTokens;
    final int suffixTokens;
    final int outputTokens;
    final long arrivedNanos;
    final long deadlineNanos;
    Runnable onFirstToken = () -> {};
    Runnable onDone = () -> {};

    /** Receives the time after which the caller may send the request again, in milliseconds. */
    IntConsumer onRefused = retryAfterMs -> {};

    int attempts;

    /** Prompt tokens that are not yet prefilled. */
    int remainingPrefillTokens;

    int remainingOutputTokens;

    /** Whether the prefix was cached when the request joined the batch. */
    boolean prefixHit;

    boolean cancelled;

    /** Start of the first step with the request in the batch; -1 before it. */
    long joinedNanos = -1;

    long firstTokenNanos = -1;
    long doneNanos = -1;

    FakeRequest(
            String id,
            FakeCustomer customer,
            PriorityClass priority,
            FakePrompt prompt,
            long arrivedNanos,
            long deadlineNanos) {
        this.id = id;
        this.customer = customer;
        this.priority = priority;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
        prefix = prompt.prefix();
        prefixTokens = prompt.prefixTokens();
        suffixTokens = prompt.suffixTokens();
        outputTokens = prompt.outputTokens();
    }

    /** Returns this request as its caller resubmits it now: same work and time limit, other ID. */
    FakeRequest resubmittedAt(long nowNanos) {
        FakePrompt prompt = new FakePrompt(prefix, prefixTokens, suffixTokens, outputTokens);
        long timeoutNanos = deadlineNanos - arrivedNanos;
        return new FakeRequest(
                id + "+", customer, priority, prompt, nowNanos, nowNanos + timeoutNanos);
    }

    /** Returns the prompt and output tokens. */
    int costTokens() {
        return prefixTokens + suffixTokens + outputTokens;
    }

    WorkItem toWorkItem() {
        return new WorkItem(
                id, customer.name(), priority, customer.share(), costTokens(), deadlineNanos);
    }
}
