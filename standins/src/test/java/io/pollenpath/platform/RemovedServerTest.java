package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.StoreFault;
import io.pollenpath.util.Pause;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays servers whose registration is removed some time after trouble with the store. The seed is
 * 72, or the seeds are from 72 on, as many as the system property {@code soak.seeds} says.
 */
class RemovedServerTest {

    private static final int FIRST_SEED = 72;
    private static final int ENTRIES = 2;
    private static final int ENGINES = 3;

    /** How long a server may be used after its registration was removed. */
    private static final long DRAIN_MS = 2_000;

    private static final long OBSERVED_MS = DRAIN_MS + 600;

    /** The time after which each entry has called the store again, however it backs off. */
    private static final int REGAINED_MS = 900;

    private static final int MAX_WAIT_MS = 1_400;

    /** What befalls the store, or a watch, before the registration is removed. */
    private enum Trouble {
        WATCH_CUT {
            @Override
            void befall(PlatformStoreStandin store, Random random) {
                store.cutWatches();
                Pause.forMs(random.nextInt(MAX_WAIT_MS));
            }
        },
        WATCHES_CUT_IN_SERIES {
            @Override
            void befall(PlatformStoreStandin store, Random random) {
                for (int i = 0; i < 4; i++) {
                    store.cutWatches();
                    Pause.forMs(random.nextInt(MAX_WAIT_MS / 2));
                }
            }
        },
        HISTORY_GONE {
            @Override
            void befall(PlatformStoreStandin store, Random random) {
                store.dropHistory();
                store.cutWatches();
                Pause.forMs(random.nextInt(MAX_WAIT_MS));
            }
        },
        REFUSED_SHORTLY {
            @Override
            void befall(PlatformStoreStandin store, Random random) {
                store.setFault(StoreFault.UNAVAILABLE);
                store.cutWatches();
                Pause.forMs(random.nextInt(200));
                store.setFault(StoreFault.NONE);
                Pause.forMs(REGAINED_MS + random.nextInt(MAX_WAIT_MS));
            }
        },
        OUTAGE {
            @Override
            void befall(PlatformStoreStandin store, Random random) {
                store.setFault(random.nextBoolean() ? StoreFault.UNAVAILABLE : StoreFault.SILENT);
                store.cutWatches();
                Pause.forMs(DRAIN_MS + random.nextInt(MAX_WAIT_MS));
                store.setFault(StoreFault.NONE);
                Pause.forMs(REGAINED_MS + random.nextInt(MAX_WAIT_MS));
            }
        };

        abstract void befall(PlatformStoreStandin store, Random random);
    }

    /** A play. */
    private record Play(Trouble trouble, long seed) {}

    static Stream<Play> plays() {
        int seeds = Integer.getInteger("soak.seeds", 1);
        return LongStream.range(FIRST_SEED, FIRST_SEED + seeds)
                .boxed()
                .flatMap(
                        seed ->
                                Arrays.stream(Trouble.values())
                                        .map(trouble -> new Play(trouble, seed)));
    }

    /** Guards against a removed server that is used since a watch was taken for an outage. */
    @ParameterizedTest
    @MethodSource("plays")
    void aRemovedServerIsUsedNoLongerThanItServes(Play play) throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        try (EntryFleet fleet = new EntryFleet(ENTRIES, ENGINES)) {
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int i = 0; i < ENTRIES; i++) {
                int entry = i;
                callers.add(CompletableFuture.runAsync(() -> call(fleet, entry, ended)));
            }
            Pause.forMs(MAX_WAIT_MS / 2);
            play.trouble().befall(fleet.store(), new Random(play.seed()));
            RestartingEngine removed = fleet.engines().get(0);
            int before = removed.arrivals().size();
            fleet.store().delete(StoreKinds.SERVERS, "engine-0-0");
            long removedNanos = System.nanoTime();
            Pause.forMs(OBSERVED_MS);
            ended.set(true);
            for (CompletableFuture<Void> caller : callers) {
                caller.get();
            }
            List<Long> lateMs =
                    removed.arrivals().stream()
                            .map(a -> TimeUnit.NANOSECONDS.toMillis(a.nanos() - removedNanos))
                            .filter(ms -> ms > DRAIN_MS)
                            .toList();
            int after = removed.arrivals().size() - before;
            System.out.println(play + ", " + after + " after the removal, late: " + lateMs);
            assertWithMessage(play.toString()).that(before).isGreaterThan(0);
            assertWithMessage(play.toString()).that(lateMs).isEmpty();
        }
    }

    private static void call(EntryFleet fleet, int entry, AtomicBoolean ended) {
        for (int i = 0; !ended.get(); i++) {
            fleet.call(entry, "e" + entry + "n" + i, "/plain/load");
            Pause.forMs(5);
        }
    }
}
