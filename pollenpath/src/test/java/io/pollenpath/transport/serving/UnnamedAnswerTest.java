package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

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
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests answers that name no request, on new connections and on kept ones. */
class UnnamedAnswerTest {

    private static final NettyLoops LOOPS = new NettyLoops(1);
    private static final EventLoop LOOP = LOOPS.group().next();
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nUpstream-Signature: proof\r\n";
    private static final String REFUSAL = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n";
    private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String BODY = "Content-Length: 4\r\n\r\ndone";

    private final BackendConnectionPool pool =
            new BackendConnectionPool(LOOP, new TestDialect(), cause -> {});
    private final BackendConnection connection =
            new BackendConnection(pool, "server", new TestDialect());
    private final EmbeddedChannel channel =
            new EmbeddedChannel(BackendConnectionPool.codec(), connection);

    /** What a request heard of its answer. */
    private static final class Heard implements BackendListener {
        private final List<SendOutcome> failures = new ArrayList<>();
        private int heads;
        private int ends;

        @Override
        public void onHead(int status, HttpHeaders headers) {
            heads++;
        }

        @Override
        public void onData(byte[] bytes) {}

        @Override
        public long endWaitMs(AnswerEnd end) {
            return 0;
        }

        @Override
        public AnswerEnd judgeEnd(byte[] behind) {
            return AnswerEnd.OWN;
        }

        @Override
        public void onEnd(byte[] behind) {
            ends++;
        }

        @Override
        public void onEndByClose() {
            ends++;
        }

        @Override
        public void onFailed(SendOutcome outcome, String cause) {
            failures.add(outcome);
        }
    }

    @AfterAll
    static void close() {
        LOOPS.close();
    }

    private Heard play(String requestId, String answer) {
        Heard heard = new Heard();
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                requestId,
                heard);
        channel.writeInbound(Unpooled.wrappedBuffer(answer.getBytes(StandardCharsets.ISO_8859_1)));
        return heard;
    }

    /** Guards against a late answer to an earlier request that is taken for the answer due. */
    @ParameterizedTest
    @ValueSource(strings = {SUCCESS, REFUSAL, INTERIM + SUCCESS, INTERIM + REFUSAL})
    void anAnswerWithoutAnIdOnAKeptConnectionSettlesNothing(String head) {
        assertThat(play("a", SUCCESS + "Request-Id: a\r\n" + BODY).ends).isEqualTo(1);
        Heard heard = play("b", head + BODY);
        assertThat(heard.heads).isEqualTo(0);
        assertThat(heard.ends).isEqualTo(0);
        assertThat(heard.failures).containsExactly(SendOutcome.UNKNOWN);
        assertThat(channel.isOpen()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {SUCCESS, REFUSAL, INTERIM + SUCCESS})
    void anAnswerWithoutAnIdBelongsToTheFirstRequestOfAConnection(String head) {
        Heard heard = play("a", head + BODY);
        assertThat(heard.ends).isEqualTo(1);
        assertThat(heard.failures).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {SUCCESS, REFUSAL})
    void aRequestWithoutAnIdIsAnsweredOnAKeptConnection(String head) {
        assertThat(play("", head + BODY).ends).isEqualTo(1);
        assertWithMessage("second").that(play("", head + BODY).ends).isEqualTo(1);
    }
}
