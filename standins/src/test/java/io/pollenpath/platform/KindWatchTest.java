package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.StoreFault;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
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

/** Tests that a watch mirrors the objects of a kind through each fault of the store. */
class KindWatchTest {

    private static final String KIND = "things";
    private static final long WAIT_MS = 200;
    private static final long TIMEOUT_MS = 5_000;
    private static final int PAGE = 2;

    private final PlatformStoreStandin store = new PlatformStoreStandin(PAGE);
    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong longestAwayMs = new AtomicLong();
    private volatile Set<String> seen = Set.of();
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
                WAIT_MS,
                coalesceMs,
                control,
                (objects, outageMs) -> {
                    seen = new TreeSet<>(objects.keySet());
                    longestAwayMs.accumulateAndGet(outageMs, Math::max);
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

    private void awaitSeen(String... expectedNames) throws InterruptedException {
        Set<String> expected = Set.of(expectedNames);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!seen.equals(expected) && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertThat(seen).isEqualTo(expected);
    }

    @Test
    void listsAllPagesThenFollowsChanges() throws InterruptedException {
        for (String name : new String[] {"a", "b", "c", "d", "e"}) {
            put(name);
        }
        watch.start();
        awaitSeen("a", "b", "c", "d", "e");
        put("f");
        store.delete(KIND, "a");
        awaitSeen("b", "c", "d", "e", "f");
    }

    @Test
    void listsAnewWhenTheHistoryIsGone() throws InterruptedException {
        put("a");
        watch.start();
        awaitSeen("a");
        store.setFault(StoreFault.UNAVAILABLE);
        Thread.sleep(2 * WAIT_MS);
        store.delete(KIND, "a");
        put("b");
        store.forgetHistory();
        store.setFault(StoreFault.NONE);
        awaitSeen("b");
    }

    @ParameterizedTest
    @EnumSource(
            value = StoreFault.class,
            names = {"UNAVAILABLE", "TOO_MANY_CALLS", "SILENT"})
    void keepsWhatItKnowsThroughAnOutageAndTellsHowLongItWas(StoreFault fault)
            throws InterruptedException {
        put("a");
        watch.start();
        awaitSeen("a");
        store.setFault(fault);
        Thread.sleep(4 * WAIT_MS);
        assertThat(seen).containsExactly("a");
        put("b");
        store.setFault(StoreFault.NONE);
        awaitSeen("a", "b");
        assertThat(longestAwayMs.get()).isGreaterThan(WAIT_MS);
    }

    @Test
    void startsWhileTheStoreIsDown() throws InterruptedException {
        put("a");
        store.setFault(StoreFault.UNAVAILABLE);
        watch.start();
        Thread.sleep(WAIT_MS);
        store.setFault(StoreFault.NONE);
        awaitSeen("a");
    }

    @Test
    void changesThatComeInARowMakeFewCalls() throws InterruptedException {
        watch = create(2 * WAIT_MS);
        watch.start();
        put("a");
        awaitSeen("a");
        long callsBefore = store.calls();
        for (String name : new String[] {"b", "c", "d", "e", "f", "g"}) {
            put(name);
            Thread.sleep(WAIT_MS / 10);
        }
        awaitSeen("a", "b", "c", "d", "e", "f", "g");
        assertThat(store.calls() - callsBefore).isAtMost(2);
    }
}
