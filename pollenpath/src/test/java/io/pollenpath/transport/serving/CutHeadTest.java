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
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests answers of servers whose head stops anywhere. */
class CutHeadTest {

    private static final NettyLoops LOOPS = new NettyLoops(1);
    private static final EventLoop LOOP = LOOPS.group().next();
    private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String FIRST =
            "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 4\r\n\r\ndone";
    private static final String FAILURE =
            "HTTP/1.1 500 Oops\r\nRequest-Id: r\r\nUpstream-Signature: proof\r\n"
                    + "Content-Length: 4\r\n\r\noops";
    private static final String SECOND =
            "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nother";

    /** What a request heard of its answer. */
    private static final class Heard implements BackendListener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int ends;
        private int failures;

        @Override
        public void onHead(int status, HttpHeaders headers) {}

        @Override
        public void onData(byte[] bytes) {
            body.writeBytes(bytes);
        }

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
            failures++;
        }
    }

    /**
     * A head that is cut, and what is around it.
     *
     * @param name what it shows
     * @param head the whole head
     * @param before the bytes before it
     * @param behind the bytes behind it, before the connection is closed
     * @param keptConnection whether the connection has carried an answer before
     */
    private record Row(
            String name, String head, String before, String behind, boolean keptConnection) {

        @Override
        public String toString() {
            return name;
        }
    }

    static List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (String framing :
                List.of("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "")) {
            String head =
                    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n"
                            + framing
                            + "Upstream-Signature: proof\r\n"
                            + "Content-Type: text/event-stream\r\n\r\n";
            String name = framing.isEmpty() ? "no length" : framing.trim();
            rows.add(new Row(name, head, "", "", false));
            rows.add(new Row(name + ", after an interim answer", head, INTERIM, "", false));
            rows.add(new Row(name + ", kept connection", head, "", "", true));
            rows.add(new Row(name + ", second answer behind", head, "", SECOND, false));
            rows.add(new Row(name + ", second answer, kept", head, "", SECOND, true));
            rows.add(new Row(name + ", failure behind", head, "", FAILURE, false));
            rows.add(new Row(name + ", failure, kept", head, "", FAILURE, true));
        }
        return rows;
    }

    @AfterAll
    static void close() {
        LOOPS.close();
    }

    /** Guards against a head that was cut and is taken for that of a whole answer. */
    @ParameterizedTest
    @MethodSource("rows")
    void aCutHeadIsNoAnswer(Row row) {
        for (int cut = 1; cut < row.head().length(); cut++) {
            Heard heard = play(row, row.before() + row.head().substring(0, cut) + row.behind());
            String text = row + ", cut after " + cut + " bytes";
            assertWithMessage(text).that(heard.body.size()).isEqualTo(0);
            assertWithMessage(text).that(heard.ends).isEqualTo(0);
            assertWithMessage(text).that(heard.failures).isEqualTo(1);
        }
    }

    private static Heard play(Row row, String bytes) {
        BackendConnectionPool pool =
                new BackendConnectionPool(LOOP, new TestDialect(), cause -> {});
        BackendConnection connection = new BackendConnection(pool, "server", new TestDialect());
        EmbeddedChannel channel = new EmbeddedChannel(BackendConnectionPool.codec(), connection);
        if (row.keptConnection()) {
            Heard before = new Heard();
            send(connection, before);
            write(channel, FIRST);
            assertThat(before.ends).isEqualTo(1);
        }
        Heard heard = new Heard();
        send(connection, heard);
        write(channel, bytes);
        channel.finishAndReleaseAll();
        return heard;
    }

    private static void send(BackendConnection connection, BackendListener listener) {
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                "r",
                listener);
    }

    private static void write(EmbeddedChannel channel, String bytes) {
        channel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
