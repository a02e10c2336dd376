package io.pollenpath.bench.measure;

/**
 * The control-plane cost of a fleet without requests.
 *
 * @param members the number of entry and side processes
 * @param entry the mean cost of an entry
 * @param side the mean cost of a side process
 * @param storeCallsPerSecond the calls per second to the Object API; each open watch counts as one
 *     call per second
 * @param openWatches the watches that were open at the end
 */
record FleetCost(
        int members,
        ProcessCost entry,
        ProcessCost side,
        double storeCallsPerSecond,
        int openWatches) {

    /**
     * The mean cost of the processes of one role.
     *
     * @param corePercent the CPU time, in percent of one core
     * @param residentMb the resident memory, in MiB
     * @param bytesPerSecond the bytes read and written per second
     * @param ioCallsPerSecond the read and write calls per second
     */
    record ProcessCost(
            double corePercent,
            double residentMb,
            double bytesPerSecond,
            double ioCallsPerSecond) {}

    /** Returns the mean cost of a role, which is {@code entry} or {@code side}. */
    ProcessCost ofRole(String role) {
        return role.equals("entry") ? entry : side;
    }
}
