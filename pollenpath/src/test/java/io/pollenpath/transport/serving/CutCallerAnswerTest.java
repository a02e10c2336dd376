package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.ReferenceCountUtil;
import io.pollenpath.transport.HttpRequestCodec;
import io.pollenpath.transport.NettyLoops;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that nothing follows an answer of this entry that was cut. */
class CutCallerAnswerTest {

    private static final int STATUS_OK = 200;
    private static final String GET = "GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String HEAD = "HEAD /a/ HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String AWAITING =
            "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n";
    private static final byte[] EVENT = "data: a\n\n".getBytes(StandardCharsets.US_ASCII);

    private final NettyLoops loops = new NettyLoops(1);
    private final Gateway gateway =
            new Gateway(
                    loops.group().next(),
                    new GatewaySettings("entry-1", "zone-a", 0, 0, 0, 1, 1, 1_000_000),
                    new TestDialect(),
                    new MetricRegistry(),
                    new Random(1));
    private final ScarceMemory memory = new ScarceMemory();
    private final RequestQueue queue = new RequestQueue();
    private final CallerConnection connection = new CallerConnection(gateway);
    private final EmbeddedChannel channel =
            new EmbeddedChannel(
                    new HttpRequestCodec(new HttpDecoderConfig()),
                    memory,
                    new CallerRequestReader(gateway),
                    queue,
                    connection);

    /** Fails one write, as the encoder does when there is no memory for it. */
    private static final class ScarceMemory extends ChannelDuplexHandler {
        private int failingWrite = -1;
        private int writes;

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            writes++;
            if (writes == failingWrite) {
                ReferenceCountUtil.release(message);
                promise.setFailure(new OutOfMemoryError("as in a test"));
            } else {
                ctx.write(message, promise);
            }
        }
    }

    /** Holds back whole requests until a test passes them on, as if servers worked on them. */
    private static final class RequestQueue extends ChannelInboundHandlerAdapter {
        private final List<Object> requests = new ArrayList<>();
        private ChannelHandlerContext context;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            requests.add(message);
        }

        private void passOn() {
            requests.forEach(context::fireChannelRead);
            requests.clear();
        }
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
        loops.close();
    }

    private void read(String text) {
        channel.writeInbound(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII)));
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        ByteBuf next = channel.readOutbound();
        while (next != null) {
            text.append(next.toString(StandardCharsets.US_ASCII));
            next.release();
            next = channel.readOutbound();
        }
        return text.toString();
    }

    /** Guards against the answer to a later request in the place of one that was not written. */
    @Test
    void noAnswerFollowsOneThatWasNotWritten() {
        memory.failingWrite = 1;
        read(GET + GET);
        queue.passOn();
        assertThat(written()).isEmpty();
        assertThat(channel.isOpen()).isFalse();
        assertThat(memory.writes).isEqualTo(1);
    }

    /** Guards against a stream that ends as complete though a piece of it was not written. */
    @Test
    void noPieceFollowsOneThatWasNotWritten() {
        connection.writeHead(STATUS_OK, EmptyHttpHeaders.INSTANCE);
        connection.writeChunk(EVENT);
        memory.failingWrite = 3;
        connection.writeChunk(EVENT);
        connection.writeChunk(EVENT);
        connection.finishStream();
        assertThat(channel.isOpen()).isFalse();
        assertThat(written()).doesNotContain("\r\n0\r\n");
    }

    @Test
    void noPieceFollowsAHeadThatWasNotWritten() {
        memory.failingWrite = 1;
        connection.writeHead(STATUS_OK, EmptyHttpHeaders.INSTANCE);
        connection.writeChunk(EVENT);
        assertThat(channel.isOpen()).isFalse();
        assertThat(written()).isEmpty();
    }

    @Test
    void nothingFollowsAnAbortedAnswer() {
        read(GET);
        connection.writeHead(STATUS_OK, EmptyHttpHeaders.INSTANCE);
        connection.writeChunk(EVENT);
        connection.abort();
        String cut = written();
        queue.passOn();
        assertThat(channel.isOpen()).isFalse();
        assertThat(written()).isEmpty();
        assertThat(cut).doesNotContain("\r\n0\r\n");
    }

    /** Guards against an answer without its body because the next request is a HEAD request. */
    @Test
    void anAnswerAfterAnInterimOneKeepsItsBody() {
        read(AWAITING);
        assertThat(written()).isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
        read("body" + HEAD);
        queue.passOn();
        String answers = written();
        int lastHead = answers.lastIndexOf("HTTP/1.1 503");
        assertThat(answers.substring(0, lastHead)).endsWith("}");
        assertThat(answers.substring(lastHead)).endsWith("\r\n\r\n");
    }
}
