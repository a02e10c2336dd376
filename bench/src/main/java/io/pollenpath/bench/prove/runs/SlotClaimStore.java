package io.pollenpath.bench.prove.runs;

import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.coordination.SlotTable;
import io.pollenpath.state.RunClaim;
import io.pollenpath.state.SlotOwnership;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Divides the keys into slots, each owned by an entry that grants its claims in memory by {@link
 * SlotTable}. Entries take over slots from owners that were terminated and sometimes from live
 * ones.
 */
final class SlotClaimStore implements ClaimStore {

    static final int SLOT_COUNT = 4;

    private static final long MAINTENANCE_INTERVAL_MS = 100;
    private static final long KEY_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final int MAX_DELAY_MS = 3;
    private static final int MAX_LATE_DELAY_MS = 2_000;
    private static final double LATE_PROBABILITY = 0.2;
    private static final double TAKEOVER_PROBABILITY = 0.3;
    private static final double UNNECESSARY_TAKEOVER_PROBABILITY = 0.01;

    /**
     * The table of a slot that one process incarnation of an entry took over. Another entry may
     * have taken over the slot since, without this entry having noticed.
     */
    private record OwnedSlot(SimulatedProcess.Incarnation incarnation, SlotTable table) {}

    private final EventQueue events;
    private final Fault fault;
    private final Mutant mutant;
    private final List<SimulatedProcess> entries;
    private final List<SimulatedExecutor> executors;
    private final SimulatedStore store;
    private final Map<Integer, SlotOwnership> ownerships = new HashMap<>();
    private final Map<String, OwnedSlot> ownedSlots = new HashMap<>();
    private final Map<String, String> ownerViews = new HashMap<>();
    private long writes;

    SlotClaimStore(
            EventQueue events,
            Fault fault,
            Mutant mutant,
            List<SimulatedProcess> entries,
            List<SimulatedExecutor> executors,
            SimulatedStore store) {
        this.events = events;
        this.fault = fault;
        this.mutant = mutant;
        this.entries = entries;
        this.executors = executors;
        this.store = store;
        entries.forEach(this::scheduleMaintenance);
    }

    static int slotOf(String requestId) {
        return Math.floorMod(requestId.hashCode(), SLOT_COUNT);
    }

    private void scheduleMaintenance(SimulatedProcess entry) {
        if (entry.isRunning()) {
            entry.post(0, () -> maintainSlots(entry));
        }
        events.schedule(MAINTENANCE_INTERVAL_MS, () -> scheduleMaintenance(entry));
    }

    private void maintainSlots(SimulatedProcess entry) {
        for (int slot = 0; slot < SLOT_COUNT; slot++) {
            if (!store.isDown()) {
                maintainSlot(entry, slot);
            }
            SlotTable table = tableOf(entry, slot);
            if (table != null) {
                table.unfenced().forEach(executor -> sendFence(entry, table, executor));
            }
        }
    }

    private void maintainSlot(SimulatedProcess entry, int slot) {
        SlotOwnership record = ownerships.get(slot);
        boolean isOwner = record != null && record.owner().equals(entry.name);
        SlotTable table = tableOf(entry, slot);
        if (isOwner && table != null) {
            updateExecutors(slot, table);
        } else if (isOwner || record == null || shouldTakeOver(record)) {
            takeOver(entry, slot, record);
        } else {
            ownedSlots.remove(key(entry, slot));
        }
        ownerViews.put(key(entry, slot), ownerships.get(slot).owner());
    }

    private boolean shouldTakeOver(SlotOwnership record) {
        boolean ownerAlive =
                entries.stream().anyMatch(e -> e.name.equals(record.owner()) && e.isRunning());
        return events.nextBoolean(
                ownerAlive ? UNNECESSARY_TAKEOVER_PROBABILITY : TAKEOVER_PROBABILITY);
    }

    private Set<SlotOwnership.Executor> liveExecutors() {
        return executors.stream()
                .filter(SimulatedProcess::isRunning)
                .map(e -> new SlotOwnership.Executor(e.name, e.incarnation()))
                .collect(Collectors.toSet());
    }

    private void takeOver(SimulatedProcess entry, int slot, SlotOwnership record) {
        SlotOwnership initial = new SlotOwnership(slot, entry.name, 0, Set.of(), 0);
        SlotOwnership previous = record == null ? initial : record;
        SlotOwnership current = previous.takenOverBy(entry.name, liveExecutors());
        writes++;
        ownerships.put(slot, current);
        Set<SlotOwnership.Executor> mayHoldGrants =
                mutant == Mutant.SERVE_UNFENCED ? Set.of() : previous.executors();
        SlotTable table = new SlotTable(current, mayHoldGrants, KEY_RETENTION_NANOS);
        ownedSlots.put(key(entry, slot), new OwnedSlot(entry.currentIncarnation(), table));
    }

    private void updateExecutors(int slot, SlotTable table) {
        SlotOwnership updated = table.ownership().withExecutors(liveExecutors());
        if (!updated.executors().equals(table.ownership().executors())) {
            writes++;
            ownerships.put(slot, updated);
            table.onOwnershipWritten(updated);
        }
    }

    private void sendFence(SimulatedProcess entry, SlotTable table, SlotOwnership.Executor listed) {
        for (SimulatedExecutor executor : executors) {
            if (executor.name.equals(listed.name())) {
                send(executor, () -> handleFence(entry, table, listed, executor));
            }
        }
    }

    private void handleFence(
            SimulatedProcess entry,
            SlotTable table,
            SlotOwnership.Executor listed,
            SimulatedExecutor executor) {
        if (executor.incarnation() != listed.incarnation()) {
            send(
                    entry,
                    () -> {
                        if (mutant == Mutant.LOSS_IGNORED) {
                            table.onKeysReturned(listed, List.of());
                        } else {
                            table.onExecutorTerminated(listed, events.nowNanos());
                        }
                    });
            return;
        }
        SlotOwnership ownership = table.ownership();
        Collection<RunClaim> keys = executor.fences().raise(ownership.slot(), ownership.fence());
        if (keys != null) {
            send(entry, () -> table.onKeysReturned(listed, keys));
        }
    }

    @Override
    public void write(SimulatedProcess requester, RunClaim claim, Callback callback) {
        int slot = slotOf(claim.requestId());
        sendToOwner(
                requester,
                slot,
                callback,
                owner -> writeAtOwner(owner, slot, requester, claim, callback));
    }

    @Override
    public void read(SimulatedProcess requester, String requestId, Callback callback) {
        int slot = slotOf(requestId);
        sendToOwner(
                requester,
                slot,
                callback,
                owner -> readAtOwner(owner, slot, requester, requestId, callback));
    }

    private void sendToOwner(
            SimulatedProcess requester,
            int slot,
            Callback callback,
            Consumer<SimulatedProcess> action) {
        String name = ownerViews.get(key(requester, slot));
        Optional<SimulatedProcess> owner =
                entries.stream().filter(e -> e.name.equals(name)).findFirst();
        if (owner.isEmpty() || !owner.get().isRunning()) {
            requester.post(1, () -> callback.onFailure(WriteFailure.UNAVAILABLE));
            return;
        }
        send(owner.get(), () -> action.accept(owner.get()));
    }

    private void writeAtOwner(
            SimulatedProcess owner,
            int slot,
            SimulatedProcess requester,
            RunClaim claim,
            Callback callback) {
        SlotTable table = tableOf(owner, slot);
        if (table == null) {
            sendFailure(requester, callback, WriteFailure.UNAVAILABLE);
            return;
        }
        switch (table.write(claim, events.nowNanos())) {
            case GRANTED ->
                    sendClaim(
                            owner, table, requester, table.read(claim.requestId()).get(), callback);
            case CONFLICT -> sendFailure(requester, callback, WriteFailure.CONFLICT);
            case UNCERTAIN -> sendFailure(requester, callback, WriteFailure.UNAVAILABLE);
        }
    }

    private void readAtOwner(
            SimulatedProcess owner,
            int slot,
            SimulatedProcess requester,
            String requestId,
            Callback callback) {
        SlotTable table = tableOf(owner, slot);
        Optional<RunClaim> claim = table == null ? Optional.empty() : table.read(requestId);
        if (claim.isPresent()) {
            sendClaim(owner, table, requester, claim.get(), callback);
        } else if (table == null || !table.isCertain(events.nowNanos())) {
            sendFailure(requester, callback, WriteFailure.UNAVAILABLE);
        } else {
            send(requester, () -> callback.onClaim(null));
        }
    }

    /**
     * Sends a claim to the requester. A released claim is sent only after its executor has
     * confirmed that it was not restarted and that the fencing token of this owner is current;
     * otherwise a later owner may have granted the key.
     */
    private void sendClaim(
            SimulatedProcess owner,
            SlotTable table,
            SimulatedProcess requester,
            RunClaim claim,
            Callback callback) {
        if (!claim.released()) {
            send(requester, () -> callback.onClaim(claim));
            return;
        }
        SlotOwnership ownership = table.ownership();
        for (SimulatedExecutor executor : executors) {
            if (executor.name.equals(claim.executor())) {
                send(
                        executor,
                        () -> {
                            boolean current =
                                    executor.incarnation() == claim.incarnation()
                                            && executor.fences()
                                                    .isCurrent(ownership.slot(), ownership.fence());
                            send(owner, () -> onFenceChecked(current, requester, claim, callback));
                        });
            }
        }
    }

    private void onFenceChecked(
            boolean current, SimulatedProcess requester, RunClaim claim, Callback callback) {
        if (current) {
            send(requester, () -> callback.onClaim(claim));
        } else {
            sendFailure(requester, callback, WriteFailure.UNAVAILABLE);
        }
    }

    private void sendFailure(SimulatedProcess requester, Callback callback, WriteFailure failure) {
        send(requester, () -> callback.onFailure(failure));
    }

    private void send(SimulatedProcess recipient, Runnable action) {
        boolean late = fault.includes(Fault.LATE_FRAMES) && events.nextBoolean(LATE_PROBABILITY);
        SimulatedProcess.Incarnation incarnation = recipient.currentIncarnation();
        events.schedule(
                1L + events.nextInt(late ? MAX_LATE_DELAY_MS : MAX_DELAY_MS),
                () -> {
                    if (recipient.currentIncarnation().equals(incarnation)) {
                        recipient.post(0, action);
                    }
                });
    }

    private SlotTable tableOf(SimulatedProcess entry, int slot) {
        OwnedSlot ownedSlot = ownedSlots.get(key(entry, slot));
        return ownedSlot == null || !ownedSlot.incarnation().equals(entry.currentIncarnation())
                ? null
                : ownedSlot.table();
    }

    private static String key(SimulatedProcess entry, int slot) {
        return entry.name + "/" + slot;
    }

    @Override
    public long storeWrites() {
        return writes;
    }
}
