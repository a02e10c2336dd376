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
final class SlotOwners implements ClaimStore {

    static final int SLOTS = 4;

    private static final long TICK_MS = 100;
    private static final long KEY_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final int MAX_DELAY_MS = 3;
    private static final int MAX_LATE_MS = 2_000;
    private static final double LATE_CHANCE = 0.2;
    private static final double TAKEOVER_CHANCE = 0.3;
    private static final double NEEDLESS_TAKEOVER_CHANCE = 0.01;

    /**
     * The table of a slot that one process incarnation of an entry owns, or owned in its last known
     * state.
     */
    private record Owned(Node.Life life, SlotTable table) {}

    private final EventList events;
    private final Fault fault;
    private final Mutant mutant;
    private final List<Node> entries;
    private final List<SimulatedExecutor> executors;
    private final SimulatedStore store;
    private final Map<Integer, SlotOwnership> records = new HashMap<>();
    private final Map<String, Owned> owned = new HashMap<>();
    private final Map<String, String> views = new HashMap<>();
    private long writes;

    SlotOwners(
            EventList events,
            Fault fault,
            Mutant mutant,
            List<Node> entries,
            List<SimulatedExecutor> executors,
            SimulatedStore store) {
        this.events = events;
        this.fault = fault;
        this.mutant = mutant;
        this.entries = entries;
        this.executors = executors;
        this.store = store;
        entries.forEach(this::tick);
    }

    static int slotOf(String requestId) {
        return Math.floorMod(requestId.hashCode(), SLOTS);
    }

    private void tick(Node entry) {
        if (entry.isAlive()) {
            entry.post(0, () -> upkeep(entry));
        }
        events.after(TICK_MS, () -> tick(entry));
    }

    private void upkeep(Node entry) {
        for (int slot = 0; slot < SLOTS; slot++) {
            if (!store.isDown()) {
                maintain(entry, slot);
            }
            SlotTable table = tableOf(entry, slot);
            if (table != null) {
                table.unfenced().forEach(executor -> fence(entry, table, executor));
            }
        }
    }

    private void maintain(Node entry, int slot) {
        SlotOwnership record = records.get(slot);
        boolean isOwner = record != null && record.owner().equals(entry.name);
        SlotTable table = tableOf(entry, slot);
        if (isOwner && table != null) {
            list(slot, table);
        } else if (isOwner || record == null || wantsSlot(record)) {
            takeOver(entry, slot, record);
        } else {
            owned.remove(key(entry, slot));
        }
        views.put(key(entry, slot), records.get(slot).owner());
    }

    private boolean wantsSlot(SlotOwnership record) {
        boolean ownerAlive =
                entries.stream().anyMatch(e -> e.name.equals(record.owner()) && e.isAlive());
        return events.chance(ownerAlive ? NEEDLESS_TAKEOVER_CHANCE : TAKEOVER_CHANCE);
    }

    private Set<SlotOwnership.Executor> living() {
        return executors.stream()
                .filter(Node::isAlive)
                .map(e -> new SlotOwnership.Executor(e.name, e.incarnation()))
                .collect(Collectors.toSet());
    }

    private void takeOver(Node entry, int slot, SlotOwnership record) {
        SlotOwnership initial = new SlotOwnership(slot, entry.name, 0, Set.of(), 0);
        SlotOwnership previous = record == null ? initial : record;
        SlotOwnership current = previous.takenOverBy(entry.name, living());
        writes++;
        records.put(slot, current);
        Set<SlotOwnership.Executor> mayHoldGrants =
                mutant == Mutant.SERVE_UNFENCED ? Set.of() : previous.executors();
        SlotTable table = new SlotTable(current, mayHoldGrants, KEY_RETENTION_NANOS);
        owned.put(key(entry, slot), new Owned(entry.life(), table));
    }

    private void list(int slot, SlotTable table) {
        SlotOwnership updated = table.ownership().withExecutors(living());
        if (!updated.executors().equals(table.ownership().executors())) {
            writes++;
            records.put(slot, updated);
            table.onListed(updated);
        }
    }

    private void fence(Node entry, SlotTable table, SlotOwnership.Executor listed) {
        for (SimulatedExecutor executor : executors) {
            if (executor.name.equals(listed.name())) {
                hop(executor, () -> answerFence(entry, table, listed, executor));
            }
        }
    }

    private void answerFence(
            Node entry,
            SlotTable table,
            SlotOwnership.Executor listed,
            SimulatedExecutor executor) {
        if (executor.incarnation() != listed.incarnation()) {
            hop(
                    entry,
                    () -> {
                        if (mutant == Mutant.LOSS_IGNORED) {
                            table.onHandedBack(listed, List.of());
                        } else {
                            table.onEnded(listed, events.nowNanos());
                        }
                    });
            return;
        }
        SlotOwnership ownership = table.ownership();
        Collection<RunClaim> keys = executor.fences().raise(ownership.slot(), ownership.fence());
        if (keys != null) {
            hop(entry, () -> table.onHandedBack(listed, keys));
        }
    }

    @Override
    public void write(Node requester, RunClaim claim, Answer answer) {
        int slot = slotOf(claim.requestId());
        toOwner(requester, slot, answer, owner -> writeAt(owner, slot, requester, claim, answer));
    }

    @Override
    public void read(Node requester, String requestId, Answer answer) {
        int slot = slotOf(requestId);
        toOwner(
                requester,
                slot,
                answer,
                owner -> readAt(owner, slot, requester, requestId, answer));
    }

    private void toOwner(Node requester, int slot, Answer answer, Consumer<Node> action) {
        String name = views.get(key(requester, slot));
        Optional<Node> owner = entries.stream().filter(e -> e.name.equals(name)).findFirst();
        if (owner.isEmpty() || !owner.get().isAlive()) {
            requester.post(1, () -> answer.onFailure(WriteFailure.UNAVAILABLE));
            return;
        }
        hop(owner.get(), () -> action.accept(owner.get()));
    }

    private void writeAt(Node owner, int slot, Node requester, RunClaim claim, Answer answer) {
        SlotTable table = tableOf(owner, slot);
        if (table == null) {
            fail(requester, answer, WriteFailure.UNAVAILABLE);
            return;
        }
        switch (table.write(claim, events.nowNanos())) {
            case GRANTED ->
                    reply(owner, table, requester, table.read(claim.requestId()).get(), answer);
            case CONFLICT -> fail(requester, answer, WriteFailure.CONFLICT);
            case UNCERTAIN -> fail(requester, answer, WriteFailure.UNAVAILABLE);
        }
    }

    private void readAt(Node owner, int slot, Node requester, String requestId, Answer answer) {
        SlotTable table = tableOf(owner, slot);
        Optional<RunClaim> held = table == null ? Optional.empty() : table.read(requestId);
        if (held.isPresent()) {
            reply(owner, table, requester, held.get(), answer);
        } else if (table == null || !table.isCertain(events.nowNanos())) {
            fail(requester, answer, WriteFailure.UNAVAILABLE);
        } else {
            hop(requester, () -> answer.onClaim(null));
        }
    }

    /**
     * Sends a claim to the requester. A released claim is sent only after its executor has
     * confirmed that it was not restarted and that the fencing token of this owner is current;
     * otherwise a later owner may have granted the key.
     */
    private void reply(Node owner, SlotTable table, Node requester, RunClaim claim, Answer answer) {
        if (!claim.released()) {
            hop(requester, () -> answer.onClaim(claim));
            return;
        }
        SlotOwnership ownership = table.ownership();
        for (SimulatedExecutor executor : executors) {
            if (executor.name.equals(claim.executor())) {
                hop(
                        executor,
                        () -> {
                            boolean current =
                                    executor.incarnation() == claim.incarnation()
                                            && executor.fences()
                                                    .isCurrent(ownership.slot(), ownership.fence());
                            hop(owner, () -> confirmed(current, requester, claim, answer));
                        });
            }
        }
    }

    private void confirmed(boolean current, Node requester, RunClaim claim, Answer answer) {
        if (current) {
            hop(requester, () -> answer.onClaim(claim));
        } else {
            fail(requester, answer, WriteFailure.UNAVAILABLE);
        }
    }

    private void fail(Node requester, Answer answer, WriteFailure failure) {
        hop(requester, () -> answer.onFailure(failure));
    }

    private void hop(Node recipient, Runnable action) {
        boolean late = fault.includes(Fault.LATE_FRAMES) && events.chance(LATE_CHANCE);
        Node.Life life = recipient.life();
        events.after(
                1L + events.below(late ? MAX_LATE_MS : MAX_DELAY_MS),
                () -> {
                    if (recipient.life().equals(life)) {
                        recipient.post(0, action);
                    }
                });
    }

    private SlotTable tableOf(Node entry, int slot) {
        Owned held = owned.get(key(entry, slot));
        return held == null || !held.life().equals(entry.life()) ? null : held.table();
    }

    private static String key(Node entry, int slot) {
        return entry.name + "/" + slot;
    }

    @Override
    public long storeWrites() {
        return writes;
    }
}
