package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/** Tests requests whose handling fails within the entry, and the requests behind them. */
class FailedStepTest {

    private static final String REQUEST_LOG = "io.pollenpath.transport.serving.RequestLog";
    private static final int FAILING = 20;
    private static final int OTHERS = 100;
    private static final double MIN_SERVED = 0.99;

    /** No answer waits for the timeout of the routes, which is 2 s. */
    private static final long AT_ONCE_MS = 1_000;

    private static final long SETTLE_MS = 3_000;

    private final ConcurrentHashMap<String, Socket> waiting = new ConcurrentHashMap<>();
    private final NettyLoops loops = new NettyLoops(1);
    private WaitingEngine engine;
    private GatewayFixture gateway;

    @BeforeEach
    void start() throws IOException {
        engine = new WaitingEngine("engine-0", waiting);
        gateway = new GatewayFixture(loops, List.of(engine.instance()), FailingDialect.create());
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        loops.close();
        engine.close();
    }

    /** Guards against a failed step that leaves its request open, or keeps others from theirs. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "readCallerHeaders",
                "setForwardHeaders",
                "belongsTo",
                "namesRequest",
                "classify",
                "serverLimitPerSecond",
                "isLeaving",
                "pauseMs"
            })
    void costsItsOwnRequestOnly(String method) throws IOException {
        for (int i = 0; i < FAILING; i++) {
            checkEndsAtOnce("failing-" + i, FailingDialect.FIELD + ": " + method);
        }
        Pause.forMs(SETTLE_MS);
        int served = 0;
        for (int i = 0; i < OTHERS; i++) {
            served += call("other-" + i, "X-Field: value") == 200 ? 1 : 0;
        }
        assertThat((double) served / OTHERS).isAtLeast(MIN_SERVED);
        assertThat(gateway.gateway().openRequests()).isEqualTo(0);
        assertThat(gateway.bufferedBytes()).isEqualTo(0);
    }

    /** Guards against a log that tells another status than the caller has got. */
    @ParameterizedTest
    @ValueSource(strings = {"setForwardHeaders", "classify"})
    void isLoggedWithTheStatusThatItsCallerGets(String method) throws IOException {
        Logger logger = (Logger) LoggerFactory.getLogger(REQUEST_LOG);
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);
        int status = call("logged", FailingDialect.FIELD + ": " + method);
        logger.detachAppender(lines);
        assertThat(status).isAnyOf(502, 503);
        assertThat(doneLine(lines)).contains("status=" + status + " reason=internal_error");
    }

    private static String doneLine(ListAppender<ILoggingEvent> lines) {
        return lines.list.stream()
                .map(ILoggingEvent::getFormattedMessage)
                .filter(line -> line.contains("request_done") && line.contains("logged"))
                .findFirst()
                .orElse("");
    }

    private void checkEndsAtOnce(String id, String field) {
        long sentNanos = System.nanoTime();
        int status;
        try {
            status = call(id, field);
        } catch (IOException e) {
            status = 0;
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        assertWithMessage("ms to status %s of %s", status, id).that(elapsedMs).isAtMost(AT_ONCE_MS);
        assertThat(status).isAnyOf(0, 200, 502, 503);
    }

    private int call(String id, String field) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.address())) {
            caller.send(RawCaller.head(id, "/once/short", field, "Content-Length: 2") + "{}");
            return caller.read().status();
        }
    }
}
