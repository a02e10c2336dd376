package io.pollenpath.state;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The limits and request kinds that are agreed for one customer.
 *
 * @param customer the name of the customer, not empty
 * @param keyDigests the SHA-256 digests of the customer's keys, hexadecimal
 * @param share the weight in fair queueing among the customers, positive
 * @param requestsPerSecond the sustained requests per second over all entries, positive
 * @param burst the requests that may arrive at once above that rate, at least 1
 * @param maxConcurrent the requests that may be in progress at once over all entries, at least 1
 * @param retryBudget the retries allowed for each first attempt, 0 to 1
 * @param defaultKind the kind of requests that do not name one, not null
 * @param kinds the other kinds by name
 */
public record Contract(
        String customer,
        List<String> keyDigests,
        double share,
        double requestsPerSecond,
        int burst,
        int maxConcurrent,
        double retryBudget,
        RequestKind defaultKind,
        Map<String, RequestKind> kinds) {

    /** Checks the components and copies the collections. */
    public Contract {
        if (customer == null || customer.isEmpty()) {
            throw new IllegalArgumentException("customer is empty; name the customer");
        }
        Objects.requireNonNull(defaultKind, "defaultKind");
        keyDigests = List.copyOf(keyDigests);
        kinds = Map.copyOf(kinds);
        requirePositive("share", share);
        requirePositive("requestsPerSecond", requestsPerSecond);
        requirePositive("burst", burst);
        requirePositive("maxConcurrent", maxConcurrent);
        if (!(retryBudget >= 0 && retryBudget <= 1)) {
            throw new IllegalArgumentException(
                    "retryBudget is " + retryBudget + "; set it between 0 and 1");
        }
    }

    /**
     * Finds the kind of a request.
     *
     * @param name the name that the caller gave; null or empty for the default
     * @return the kind, or null if the contract does not declare the name
     */
    public RequestKind kind(String name) {
        if (name == null || name.isEmpty() || name.equals(defaultKind.name())) {
            return defaultKind;
        }
        return kinds.get(name);
    }

    private static void requirePositive(String field, double value) {
        if (!(value > 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(
                    field + " is " + value + "; set a finite value above 0");
        }
    }
}
