package io.pollenpath.transport.serving;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.pollenpath.coordination.serving.SendOutcome;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A connection to a server that writes what a test says, and what a request hears of it. */
final class PlayedConnection {

    /** The proof of the answer that the request ought to get. */
    static final String PROOF = "first";

    private static final int STATUS_OK = 200;
    private static final String REQUEST = "r";
    private static final String EARLIER_REQUEST = "before";
    private static final String EARLIER_ANSWER =
            "HTTP/1.1 200 OK\r\nRequest-Id: before\r\nContent-Length: 0\r\n\r\n";
    private static final int PAUSE_MS = 2;
    private static final int LONG_PAUSE_MS = 1_100;
    private static final TestDialect DIALECT = new TestDialect();
    private static final EventLoop LOOP = new EmbeddedChannel().eventLoop();

    /** The time that has been played. */
    private static final class PlayedClock {
        private long nanos;
    }

    /** What a request heard of its answer, as the entry judges it. */
    static final class Heard implements BackendListener {
        private final ServerAnswer answer;
        private final PlayedClock clock;
        private final ByteArrayOutputStream events = new ByteArrayOutputStream();
        private final List<String> failures = new ArrayList<>();
        private String proof = "";
        private int successes;
        private boolean waited;
        private boolean spoilt;

        private Heard(BackendConnection connection, PlayedClock clock) {
            this.clock = clock;
            answer = new ServerAnswer(connection::hasCarried);
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            proof = headers.get("Upstream-Signature", "");
            answer.onHead(DIALECT.classify(status, headers), headers, status == STATUS_OK);
        }

        @Override
        public void onData(byte[] bytes) {
            if (!answer.isForwardedStream()) {
                answer.addBody(bytes, clock.nanos);
            } else if (answer.flaw().isEmpty()) {
                forward(answer.addEvents(bytes, DIALECT, clock.nanos));
            }
        }

        @Override
        public boolean takesWholeChunks() {
            return answer.isForwardedStream();
        }

        private void forward(List<EventSplitter.Event> complete) {
            complete.forEach(event -> events.writeBytes(event.bytes()));
            complete.forEach(event -> answer.countEvent());
        }

        @Override
        public long endWaitMs(AnswerEnd end) {
            long waitMs = answer.endWaitMs(end);
            waited |= waitMs > 0;
            return waitMs;
        }

        @Override
        public AnswerEnd judgeEnd(byte[] behind) {
            return answer.end(behind);
        }

        @Override
        public void onEnd(byte[] behind) {
            boolean whole = answer.failureAtEnd(behind, STATUS_OK).isEmpty();
            if (whole && answer.flaw().isEmpty()) {
                forward(answer.takeHeldEvents());
                successes++;
            } else {
                failures.add("not whole");
            }
        }

        @Override
        public void onEndByClose() {
            onEnd(new byte[0]);
        }

        @Override
        public void onFailed(SendOutcome outcome, String cause) {
            failures.add(cause);
            spoilt = answer.outcomeOfFailure(outcome) == SendOutcome.SPOILT;
        }

        boolean isSuccess() {
            return successes == 1 && failures.isEmpty();
        }

        boolean hasWaited() {
            return waited;
        }

        List<String> failures() {
            return failures;
        }

        /** Returns what the caller has got of the body if the answer was passed on. */
        String body() {
            byte[] bytes = answer.isForwardedStream() ? events.toByteArray() : answer.body();
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }

        /** Returns whether no other run may go on with what the caller got. */
        boolean isSpoilt() {
            return spoilt;
        }

        /** Returns whether the caller got the whole body, or no more than it can tell as cut. */
        boolean isTrueTo(String body) {
            if (isSuccess()) {
                return proof.equals(PROOF) && body().equals(body);
            }
            return !answer.isForwardedStream() || body.startsWith(body());
        }
    }

    private PlayedConnection() {}

    /** Plays writes of a server that has answered a request before. */
    static Heard play(HttpMethod method, List<String> writes) {
        return playAfter(HttpMethod.GET, method, writes);
    }

    /** Plays writes of a server that has answered a request of another method before. */
    static Heard playAfter(HttpMethod methodBefore, HttpMethod method, List<String> writes) {
        return play(methodBefore, method, writes, PAUSE_MS);
    }

    /** Plays writes of a server that pauses before each of them. */
    static Heard playWithPauses(HttpMethod method, List<String> writes, int pauseMs) {
        return play(HttpMethod.GET, method, writes, pauseMs);
    }

    private static Heard play(
            HttpMethod methodBefore, HttpMethod method, List<String> writes, int pauseMs) {
        BackendConnectionPool pool = new BackendConnectionPool(LOOP, DIALECT, cause -> {});
        BackendConnection connection = new BackendConnection(pool, "server", DIALECT);
        EmbeddedChannel channel = new EmbeddedChannel(BackendConnectionPool.codec(), connection);
        PlayedClock clock = new PlayedClock();
        send(connection, methodBefore, EARLIER_REQUEST, new Heard(connection, clock));
        write(channel, EARLIER_ANSWER);
        Heard heard = new Heard(connection, clock);
        send(connection, method, REQUEST, heard);
        for (String bytes : writes) {
            clock.nanos += TimeUnit.MILLISECONDS.toNanos(pauseMs);
            pause(channel, pauseMs);
            if (channel.isActive()) {
                write(channel, bytes);
            }
        }
        pause(channel, LONG_PAUSE_MS);
        channel.finishAndReleaseAll();
        return heard;
    }

    private static void send(
            BackendConnection connection, HttpMethod method, String id, BackendListener listener) {
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"), id, listener);
    }

    private static void pause(EmbeddedChannel channel, int pauseMs) {
        channel.advanceTimeBy(pauseMs, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private static void write(EmbeddedChannel channel, String bytes) {
        channel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
