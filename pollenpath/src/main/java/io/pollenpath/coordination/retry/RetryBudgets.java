package io.pollenpath.coordination.retry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The retry budgets of all customers at one entry. Thread-safe. */
public final class RetryBudgets {

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Returns the budget of a customer.
     *
     * @param customer the customer, not null
     * @return the budget; a new one is full
     */
    public RetryBudget of(String customer) {
        return budgets.computeIfAbsent(customer, name -> new RetryBudget());
    }
}
