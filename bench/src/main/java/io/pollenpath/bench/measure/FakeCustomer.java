package io.pollenpath.bench.measure;

import java.util.List;

/**
 * A simulated customer.
 *
 * @param name the name
 * @param share the fraction of the capacity that its contract grants; the shares of all customers
 *     add up to 1
 */
record FakeCustomer(String name, double share) {

    /** Ten customers; the largest three have more than half of the capacity. */
    static final List<FakeCustomer> ALL =
            List.of(
                    new FakeCustomer("c0", 0.22),
                    new FakeCustomer("c1", 0.18),
                    new FakeCustomer("c2", 0.15),
                    new FakeCustomer("c3", 0.09),
                    new FakeCustomer("c4", 0.08),
                    new FakeCustomer("c5", 0.07),
                    new FakeCustomer("c6", 0.06),
                    new FakeCustomer("c7", 0.06),
                    new FakeCustomer("c8", 0.05),
                    new FakeCustomer("c9", 0.04));
}
