package io.pollenpath.bench.config;

import io.pollenpath.coordination.ConfigEntry;

/** Fills the store of a simulated fleet with objects of typical size. */
public final class FleetContent {

    /** Number of contracts in the store. */
    public static final int CONTRACTS = 410;

    private static final int CONTRACT_BYTES = 600;
    private static final int SERVER_BYTES = 250;

    private FleetContent() {}

    /**
     * Writes all contracts, and one backend server for each side process.
     *
     * @param fleet the fleet, not null
     */
    public static void fill(FakeFleet fleet) {
        for (int i = 0; i < CONTRACTS; i++) {
            changeContract(fleet, i);
        }
        for (int i = 0; i < fleet.size(); i++) {
            if (!fleet.isEntry(i)) {
                String json = "zone-" + fleet.zone(i) + "x".repeat(SERVER_BYTES);
                fleet.store().put(FakeFleet.SERVER, "p" + i, json);
            }
        }
    }

    /**
     * Writes a new version of a contract.
     *
     * @param fleet the fleet, not null
     * @param number the index of the contract
     * @return the stored entry
     */
    public static ConfigEntry changeContract(FakeFleet fleet, int number) {
        String json = "c".repeat(CONTRACT_BYTES);
        return fleet.store().put(FakeFleet.CONTRACT, "customer-" + number, json);
    }
}
