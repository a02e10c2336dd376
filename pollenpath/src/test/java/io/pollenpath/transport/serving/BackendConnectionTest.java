package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.transport.NettyLoops;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how a connection ends an answer. */
class BackendConnectionTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: ";
    private static final long MORE_THAN_THE_WAIT_MS = 300;

    private final NettyLoops loops = new NettyLoops(1);
    private final EventLoop loop = loops.group().next();
    private final List<Throwable> failuresOfWork = new ArrayList<>();
    private final BackendConnectionPool pool =
            new BackendConnectionPool(loop, new TestDialect(), failuresOfWork::add);
    private final BackendConnection connection =
            new BackendConnection(pool, "server", new TestDialect());
    private final EmbeddedChannel channel =
            new EmbeddedChannel(BackendConnectionPool.codec(), connection);
    private final Heard heard = new Heard();

    /** Judges its answer as a request does, and keeps what it is told. */
    private final class Heard implements BackendListener {
        private final ServerAnswer answer = new ServerAnswer(connection::hasCarried);
        private WireDialect.ReplyKind kindAtEnd;
        private int failures;
        private Error memoryShort;

        @Override
        public void onHead(int status, HttpHeaders headers) {
            answer.onHead(WireDialect.ReplyKind.ANSWER, headers, false);
        }

        @Override
        public void onData(byte[] bytes) {
            answer.addBody(bytes, 0);
        }

        @Override
        public long endWaitMs(AnswerEnd end) {
            return answer.endWaitMs(end);
        }

        @Override
        public AnswerEnd judgeEnd(byte[] behind) {
            if (memoryShort != null) {
                throw memoryShort;
            }
            return answer.end(behind);
        }

        @Override
        public void onEnd(byte[] behind) {
            kindAtEnd = answer.kindAtEnd(behind);
        }

        @Override
        public void onEndByClose() {
            onEnd(new byte[0]);
        }

        @Override
        public void onFailed(SendOutcome outcome, String cause) {
            failures++;
        }
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
        loops.close();
    }

    private void send() {
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), "r", heard);
    }

    private void write(String bytes) {
        channel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private void waitForTheEnd() {
        channel.advanceTimeBy(MORE_THAN_THE_WAIT_MS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Guards against a request that waits until its deadline since memory was short at its end. */
    @Test
    void anAnswerWhoseEndCannotBeJudgedFailsItsSend() {
        send();
        heard.memoryShort = new OutOfMemoryError("a test");
        write(HEAD + "4\r\n\r\ndone");
        assertThat(heard.failures).isEqualTo(1);
        assertThat(heard.kindAtEnd).isNull();
        assertThat(failuresOfWork).hasSize(1);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against a connection that is used again after an answer that a second one filled. */
    @Test
    void aConnectionIsClosedAfterAnAnswerThatWasFilled() {
        send();
        String second = "HTTP/1.1 500 Status\r\nRequest-Id: r\r\nConte";
        write(HEAD + (6 + second.length()) + "\r\n\r\nletter");
        write(second);
        waitForTheEnd();
        assertThat(heard.kindAtEnd).isEqualTo(WireDialect.ReplyKind.UNPROVEN);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against a connection that is used again though bytes may still be on their way. */
    @Test
    void aConnectionIsClosedAfterAnEndThatStaysUnclear() {
        send();
        write(HEAD + "16\r\n\r\nletter");
        write("HTTP/1.1 5");
        waitForTheEnd();
        assertThat(heard.kindAtEnd).isEqualTo(WireDialect.ReplyKind.ANSWER);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against an answer whose end goes on behind it, but too slowly to become a status. */
    @Test
    void anEndThatGoesOnBehindItIsOfASecondAnswer() {
        send();
        write(HEAD + "16\r\n\r\nletter");
        write("HTTP/1.1 5");
        write("0");
        waitForTheEnd();
        assertThat(heard.kindAtEnd).isEqualTo(WireDialect.ReplyKind.UNPROVEN);
    }

    /** Guards against a request that waits for the answer of a server that has left HTTP. */
    @Test
    void anotherProtocolFailsTheSendAtOnce() {
        send();
        write("HTTP/1.1 101 Other\r\nUpgrade: other\r\n\r\n");
        assertThat(heard.failures).isEqualTo(1);
        assertThat(connection.isOpen()).isFalse();
    }
}
