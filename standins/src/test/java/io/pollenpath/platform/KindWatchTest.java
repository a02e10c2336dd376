package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.util.RawValue;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.StoreFault;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a watch mirrors the objects of a kind through each fault of the store. */
class KindWatchTest {

    private static final String KIND = "things";
    private static final long LONG_POLL_MS = 200;
    private static final long TIMEOUT_MS = 5_000;
    private static final int PAGE_SIZE = 2;

    private final PlatformStoreStandin store = new PlatformStoreStandin(PAGE_SIZE);
    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong maxOutageMs = new AtomicLong();
    private volatile Set<String> objectNames = Set.of();
    private volatile boolean failListener;
    private KindWatch watch;

    @BeforeEach
    void start() {
        watch = create(0);
    }

    private KindWatch create(long coalesceMs) {
        StoreClient client = new StoreClient(http, new HttpAddress("127.0.0.1", store.port()));
        return new KindWatch(
                client,
                KIND,
                LONG_POLL_MS,
                coalesceMs,
                control,
                (objects, gap) -> {
                    if (failListener) {
                        throw new IllegalStateException("the listener fails");
                    }
                    objectNames = new TreeSet<>(objects.keySet());
                    maxOutageMs.accumulateAndGet(gap.outage().awayMs(), Math::max);
                });
    }

    @AfterEach
    void stop() {
        watch.stop();
        control.shutdownNow();
        http.close();
        loops.close();
        store.close();
    }

    private void put(String name) {
        store.put(KIND, name, Json.object());
    }

    private void awaitObjectNames(String... names) throws InterruptedException {
        Set<String> expected = Set.of(names);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!objectNames.equals(expected) && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertThat(objectNames).isEqualTo(expected);
    }

    @Test
    void listsAllPagesThenFollowsChanges() throws InterruptedException {
        for (String name : new String[] {"a", "b", "c", "d", "e"}) {
            put(name);
        }
        watch.start();
        awaitObjectNames("a", "b", "c", "d", "e");
        put("f");
        store.delete(KIND, "a");
        awaitObjectNames("b", "c", "d", "e", "f");
    }

    static List<String> oddValues() {
        return List.of(
                "[".repeat(3_000) + "]".repeat(3_000),
                "{\"a\":".repeat(900) + "1" + "}".repeat(900),
                "1".repeat(1_500),
                "{\"" + "k".repeat(100_000) + "\":1}",
                "\"" + "t".repeat(900_000) + "\"",
                "{\"Address\":1,\"Address\":2}",
                "1e999999999",
                "NaN");
    }

    /** Guards against one object that nobody can read and that costs the whole list. */
    @ParameterizedTest
    @MethodSource("oddValues")
    void followsTheOthersBesideAnObjectThatCannotBeRead(String odd) throws InterruptedException {
        put("a");
        watch.start();
        awaitObjectNames("a");
        store.put(KIND, "odd", Json.object().putRawValue("Address", new RawValue(odd)));
        put("b");
        store.delete(KIND, "a");
        awaitObjectNames("b", "odd");
        watch.stop();
        watch = create(0);
        watch.start();
        put("c");
        awaitObjectNames("b", "c", "odd");
        store.delete(KIND, "odd");
        awaitObjectNames("b", "c");
    }

    /** Guards against a watch that ends when its listener fails. */
    @Test
    void followsOnAfterItsListenerHasFailed() throws InterruptedException {
        failListener = true;
        put("a");
        watch.start();
        Thread.sleep(LONG_POLL_MS);
        failListener = false;
        put("b");
        awaitObjectNames("a", "b");
    }

    @Test
    void listsAgainWhenHistoryExpired() throws InterruptedException {
        put("a");
        watch.start();
        awaitObjectNames("a");
        store.setFault(StoreFault.UNAVAILABLE);
        Thread.sleep(2 * LONG_POLL_MS);
        store.delete(KIND, "a");
        put("b");
        store.dropHistory();
        store.setFault(StoreFault.NONE);
        awaitObjectNames("b");
    }

    @ParameterizedTest
    @EnumSource(
            value = StoreFault.class,
            names = {"UNAVAILABLE", "TOO_MANY_CALLS", "SILENT"})
    void keepsObjectsDuringOutageAndReportsItsLength(StoreFault fault) throws InterruptedException {
        put("a");
        watch.start();
        awaitObjectNames("a");
        store.setFault(fault);
        Thread.sleep(4 * LONG_POLL_MS);
        assertThat(objectNames).containsExactly("a");
        put("b");
        store.setFault(StoreFault.NONE);
        awaitObjectNames("a", "b");
        assertThat(maxOutageMs.get()).isGreaterThan(LONG_POLL_MS);
    }

    /** Guards against a watch that stays failed since the store answers, but slowly. */
    @Test
    void goesOnWhenTheStoreIsSlow() throws InterruptedException {
        put("a");
        watch.start();
        awaitObjectNames("a");
        store.setFault(StoreFault.UNAVAILABLE);
        Thread.sleep(2 * LONG_POLL_MS);
        put("b");
        store.setFault(StoreFault.SLOW);
        awaitObjectNames("a", "b");
    }

    @Test
    void startsWhileStoreIsUnavailable() throws InterruptedException {
        put("a");
        store.setFault(StoreFault.UNAVAILABLE);
        watch.start();
        Thread.sleep(LONG_POLL_MS);
        store.setFault(StoreFault.NONE);
        awaitObjectNames("a");
    }

    private void restoreWhileUnreachable(Runnable changes) throws InterruptedException {
        store.setFault(StoreFault.UNAVAILABLE);
        Thread.sleep(2 * LONG_POLL_MS);
        store.restoreCopy();
        changes.run();
        store.setFault(StoreFault.NONE);
    }

    @Test
    void mirrorsAnOlderCopyOfTheStore() throws InterruptedException {
        put("a");
        store.keepCopy();
        watch.start();
        put("b");
        awaitObjectNames("a", "b");
        restoreWhileUnreachable(() -> {});
        awaitObjectNames("a");
    }

    @Test
    void mirrorsAnOlderCopyWhoseRevisionsWereGivenOutAgain() throws InterruptedException {
        put("a");
        store.keepCopy();
        watch.start();
        put("b");
        awaitObjectNames("a", "b");
        restoreWhileUnreachable(
                () -> {
                    put("c");
                    for (int i = 0; i < 5; i++) {
                        store.put("others", "x" + i, Json.object());
                    }
                });
        awaitObjectNames("a", "c");
        put("d");
        awaitObjectNames("a", "c", "d");
    }

    @ParameterizedTest
    @ValueSource(strings = {"soon", "-4", "0"})
    void goesOnIfTheEraIsNoNumberOrGoesBack(String era) throws InterruptedException {
        put("a");
        watch.start();
        awaitObjectNames("a");
        store.forceEra(era);
        Thread.sleep(2 * LONG_POLL_MS);
        store.forceEra("");
        put("b");
        awaitObjectNames("a", "b");
    }

    @Test
    void coalescesBurstOfChanges() throws InterruptedException {
        watch = create(2 * LONG_POLL_MS);
        watch.start();
        put("a");
        awaitObjectNames("a");
        long callsBefore = store.callCount();
        for (String name : new String[] {"b", "c", "d", "e", "f", "g"}) {
            put(name);
            Thread.sleep(LONG_POLL_MS / 10);
        }
        awaitObjectNames("a", "b", "c", "d", "e", "f", "g");
        assertThat(store.callCount() - callsBefore).isAtMost(2);
    }
}
