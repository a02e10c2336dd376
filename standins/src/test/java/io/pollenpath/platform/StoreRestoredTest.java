package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.StoreFault;
import io.pollenpath.util.Json;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what entries do when the store comes back from a copy that is some seconds old. */
class StoreRestoredTest {

    private static final int ENTRIES = 3;
    private static final int ENGINES = 4;
    private static final long OUTAGE_MS = 1_000;
    private static final long WITHIN_MS = 2_000;
    private static final long OBSERVED_MS = 5_000;

    private EntryFleet fleet;
    private PlatformStoreStandin store;

    @BeforeEach
    void start() throws IOException {
        fleet = new EntryFleet(ENTRIES, ENGINES);
        store = fleet.store();
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    private void restoreAfterOutage(Runnable changes) {
        store.setFault(StoreFault.UNAVAILABLE);
        Pause.forMs(OUTAGE_MS);
        store.restoreCopy();
        changes.run();
        store.setFault(StoreFault.NONE);
    }

    private void writeConfig(long version, String route) {
        store.put(
                StoreKinds.CONFIG,
                StoreKinds.NEWEST_CONFIG,
                PlatformFixtures.manifestWithRoute(version, EntryFleet.SERVICE, route));
    }

    private boolean servedByAll(String route) {
        boolean all = true;
        for (int entry = 0; entry < ENTRIES; entry++) {
            all &= fleet.call(entry, route + "-" + entry, "/" + route + "/x").status() == 200;
        }
        return all;
    }

    private static boolean holdsWithin(long limitMs, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                return false;
            }
            Pause.forMs(20);
        }
        return true;
    }

    @Test
    void newestConfigurationStaysInForceAndTheNextOneFollows() {
        store.keepCopy();
        writeConfig(5, "new");
        assertThat(holdsWithin(WITHIN_MS, () -> servedByAll("new"))).isTrue();
        restoreAfterOutage(
                () -> {
                    for (int i = 0; i < 50; i++) {
                        store.put("others", "x" + i, Json.object());
                    }
                });
        for (int i = 0; i < 10; i++) {
            assertThat(servedByAll("new")).isTrue();
            Pause.forMs(100);
        }
        writeConfig(9, "newer");
        assertThat(holdsWithin(WITHIN_MS, () -> servedByAll("newer"))).isTrue();
    }

    @Test
    void configurationWrittenBeforeAnyEntryReachesTheStoreComesIntoForce() {
        store.keepCopy();
        for (int i = 0; i < 20; i++) {
            store.put("others", "x" + i, Json.object());
        }
        Pause.forMs(WITHIN_MS);
        restoreAfterOutage(
                () -> {
                    writeConfig(9, "newer");
                    for (int i = 0; i < 50; i++) {
                        store.put("others", "x" + i, Json.object());
                    }
                });
        assertThat(holdsWithin(WITHIN_MS, () -> servedByAll("newer"))).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void drillsAtRandomMomentsCostNoRequestAndNoConfiguration(long seed) throws Exception {
        Random random = new Random(seed);
        AtomicBoolean ended = new AtomicBoolean();
        Queue<EntryFleet.Answer> failures = new ConcurrentLinkedQueue<>();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            int entry = i;
            callers.add(
                    CompletableFuture.runAsync(
                            () -> {
                                while (!ended.get()) {
                                    EntryFleet.Answer answer =
                                            fleet.call(entry, "load", "/plain/load");
                                    if (answer.status() != 200) {
                                        failures.add(answer);
                                    }
                                    Pause.forMs(10);
                                }
                            }));
        }
        long version = 10;
        for (int drill = 0; drill < 4; drill++) {
            store.keepCopy();
            Pause.forMs(random.nextInt(800));
            version += 1 + random.nextInt(5);
            String route = "r" + version;
            writeConfig(version, route);
            boolean seen = random.nextBoolean() && holdsWithin(WITHIN_MS, () -> servedByAll(route));
            store.setFault(random.nextBoolean() ? StoreFault.UNAVAILABLE : StoreFault.SILENT);
            Pause.forMs(200 + random.nextInt(1_200));
            store.restoreCopy();
            store.setFault(StoreFault.NONE);
            Pause.forMs(random.nextInt(600));
            if (seen) {
                assertThat(servedByAll(route)).isTrue();
            }
            fleet.engines().forEach(RestartingEngine::register);
            writeConfig(version, route);
            assertThat(holdsWithin(WITHIN_MS, () -> servedByAll(route))).isTrue();
        }
        ended.set(true);
        for (CompletableFuture<Void> caller : callers) {
            caller.get();
        }
        assertThat(failures).isEmpty();
    }

    @Test
    void entriesAreRegisteredAgain() {
        for (int entry = 0; entry < ENTRIES; entry++) {
            store.delete(StoreKinds.ENTRIES, "entry-" + entry);
        }
        store.keepCopy();
        restoreAfterOutage(() -> {});
        for (int entry = 0; entry < ENTRIES; entry++) {
            String name = "entry-" + entry;
            assertWithMessage(name)
                    .that(
                            holdsWithin(
                                    WITHIN_MS,
                                    () -> store.read(StoreKinds.ENTRIES, name).isPresent()))
                    .isTrue();
        }
    }

    @Test
    void serverThatHasLeftGetsNoRequestsThoughTheCopyHasIt() {
        store.keepCopy();
        store.delete(StoreKinds.SERVERS, "engine-0-0");
        Pause.forMs(WITHIN_MS);
        RestartingEngine left = fleet.engines().get(0);
        int before = left.arrivals().size();
        restoreAfterOutage(() -> {});
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVED_MS);
        while (System.nanoTime() < endNanos) {
            assertThat(servedByAll("plain")).isTrue();
        }
        assertThat(left.arrivals().size()).isEqualTo(before);
    }

    @Test
    void serverThatTheCopyLacksStaysInUseUntilItRegistersAgain() {
        for (int engine = 1; engine < ENGINES; engine++) {
            store.delete(StoreKinds.SERVERS, "engine-" + engine + "-0");
        }
        store.delete(StoreKinds.SERVERS, "engine-0-0");
        store.keepCopy();
        fleet.engines().get(0).register();
        assertThat(holdsWithin(WITHIN_MS, () -> servedByAll("plain"))).isTrue();
        restoreAfterOutage(() -> {});
        for (int i = 0; i < 10; i++) {
            assertThat(servedByAll("plain")).isTrue();
            Pause.forMs(100);
        }
        fleet.engines().get(0).register();
        Pause.forMs(OBSERVED_MS / 2);
        assertThat(servedByAll("plain")).isTrue();
    }
}
