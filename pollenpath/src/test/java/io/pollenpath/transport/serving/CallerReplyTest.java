package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.protocol.Problem;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests what a caller gets when the end of its answer can't be written. */
class CallerReplyTest {

    private static final byte[] BODY = {1};
    private static final Problem PROBLEM = GatewayProblems.internalError(false);

    private final FailingCaller caller = new FailingCaller();
    private final CallerReply reply = new CallerReply(caller, OptionalLong.empty());

    /** A caller whose connection takes no whole answer and no end of a stream. */
    private static final class FailingCaller implements CallerAnswer {
        private final List<String> calls = new ArrayList<>();

        @Override
        public void writeFull(int status, HttpHeaders headers, byte[] body) {
            throw new IllegalStateException("whole answer");
        }

        @Override
        public void writeHead(int status, HttpHeaders headers) {
            calls.add("head");
        }

        @Override
        public void writeChunk(byte[] bytes) {
            calls.add("chunk");
        }

        @Override
        public void finishStream() {
            throw new IllegalStateException("end of a stream");
        }

        @Override
        public void abort() {
            calls.add("abort");
        }

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    /** Guards against a caller that waits for an answer that nobody writes any more. */
    @Test
    void closesTheConnectionIfAServersAnswerCanNotBeWritten() {
        assertThrows(IllegalStateException.class, () -> reply.writeFull(BODY));
        assertThat(caller.calls).containsExactly("abort");
    }

    @Test
    void closesTheConnectionIfAnErrorCanNotBeWritten() {
        assertThrows(IllegalStateException.class, () -> reply.endWith(PROBLEM, "r"));
        assertThat(caller.calls).containsExactly("abort");
    }

    @Test
    void closesTheConnectionIfTheEndOfAStreamCanNotBeWritten() {
        assertThrows(IllegalStateException.class, reply::finishStream);
        assertThat(caller.calls).containsExactly("head", "abort").inOrder();
    }

    /** Guards against a second answer behind one of which it is not known what was written. */
    @Test
    void writesNothingBehindAnAnswerThatCouldNotBeWritten() {
        reply.onHead(200, EmptyHttpHeaders.INSTANCE);
        assertThrows(IllegalStateException.class, () -> reply.writeFull(BODY));
        reply.endWith(PROBLEM, "r");
        assertThat(caller.calls).containsExactly("abort");
    }
}
