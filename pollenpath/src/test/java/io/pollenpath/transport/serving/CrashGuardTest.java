package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.pollenpath.coordination.serving.CrashHistory;
import io.pollenpath.coordination.serving.SuspectPolicy;
import io.pollenpath.coordination.serving.TrialClaim;
import io.pollenpath.state.serving.Repeatability;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.WeightedService;
import io.pollenpath.transport.NettyLoops;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests trials of blocked requests while the other entries can't be asked. */
class CrashGuardTest {

    private static final String SERVICE = "drafts";
    private static final int CRASHES = 5;
    private static final long TEN_SECONDS_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long TIMEOUT_MS = 2_000;

    private final NettyLoops loops = new NettyLoops(1);
    private final EventLoop loop = loops.group().next();
    private final long nowNanos = System.nanoTime();
    private final CrashGuard guard =
            new CrashGuard(
                    "entry-1",
                    new BackendConnectionPool(loop, null, cause -> {}),
                    new CrashLog(new MetricRegistry()),
                    new Random(1),
                    nowNanos - TEN_SECONDS_NANOS);
    private final ForwardedRequest request = request();

    /** Other entries that agree to each trial, and which nobody can tell that it runs. */
    private static final class UnreachableVoters implements TrialVoters {

        @Override
        public CompletableFuture<Boolean> ask(TrialClaim claim) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<Boolean> tell() {
            return CompletableFuture.failedFuture(new IllegalStateException("not told"));
        }
    }

    /** Other entries that can't be asked. */
    private static final class SilentVoters implements TrialVoters {

        @Override
        public CompletableFuture<Boolean> ask(TrialClaim claim) {
            return CompletableFuture.failedFuture(new IllegalStateException("not asked"));
        }

        @Override
        public CompletableFuture<Boolean> tell() {
            return CompletableFuture.completedFuture(true);
        }
    }

    private ForwardedRequest request() {
        Gateway gateway =
                new Gateway(
                        loop,
                        new GatewaySettings("entry-1", "zone-a", 0, 0, 0, 1, 1, 1_000_000),
                        new TestDialect(),
                        new MetricRegistry(),
                        new Random(1));
        Route route =
                new Route(
                        "drafts",
                        "host",
                        "/once/",
                        Repeatability.NON_IDEMPOTENT,
                        false,
                        false,
                        1,
                        TIMEOUT_MS,
                        TIMEOUT_MS,
                        0,
                        0,
                        true,
                        List.of(new WeightedService(SERVICE, 1)));
        RequestContext context =
                new RequestContext(
                        "POST",
                        "/once/a",
                        EmptyHttpHeaders.INSTANCE,
                        new byte[0],
                        new TestDialect().readCallerHeaders(EmptyHttpHeaders.INSTANCE),
                        route,
                        SERVICE,
                        Optional.empty(),
                        1,
                        nowNanos,
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS));
        return new ForwardedRequest(gateway, null, context);
    }

    @BeforeEach
    void blockTheRequest() {
        CrashHistory history = new CrashHistory();
        for (int i = 0; i < CRASHES; i++) {
            history.recordCrash(
                    "engine-" + i + "@1",
                    SERVICE,
                    Set.of(request.suspects().request()),
                    nowNanos - TEN_SECONDS_NANOS);
        }
        guard.merge(history.report(nowNanos), nowNanos);
    }

    @AfterEach
    void stop() {
        loops.close();
    }

    /** Guards against a request that waits for its timeout because nobody decides on it. */
    @Test
    void withholdsATrialOfWhichNobodyCouldBeTold() {
        guard.setVoters(new UnreachableVoters());
        List<Boolean> results = new ArrayList<>();
        guard.authorizeSend(request, nowNanos, results::add);
        assertThat(results).containsExactly(false);
    }

    /** Guards against a request that waits for votes that nobody counts. */
    @Test
    void refusesATrialThatNobodyCouldBeAskedAbout() {
        guard.setVoters(new SilentVoters());
        SuspectPolicy.Verdict verdict = guard.verdict(request, nowNanos);
        assertThat(verdict.decision()).isEqualTo(SuspectPolicy.Decision.REFUSE);
    }
}
