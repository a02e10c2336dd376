package io.pollenpath.transport.side;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.pollenpath.protocol.wire.Chunk;
import io.pollenpath.protocol.wire.Execution;
import io.pollenpath.protocol.wire.Finished;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Head;
import io.pollenpath.protocol.wire.Refused;
import io.pollenpath.protocol.wire.Started;
import io.pollenpath.protocol.wire.Submit;

/** Builds the frames that a side process sends. */
final class SideFrames {

    private SideFrames() {}

    static Frame.Builder started(String requestId, int attempt) {
        return Frame.newBuilder()
                .setStarted(Started.newBuilder().setRequestId(requestId).setAttempt(attempt));
    }

    static Frame.Builder head(String requestId, int attempt, int status, String contentType) {
        return Frame.newBuilder()
                .setHead(
                        Head.newBuilder()
                                .setRequestId(requestId)
                                .setAttempt(attempt)
                                .setStatus(status)
                                .setContentType(contentType));
    }

    static Frame.Builder chunk(String requestId, int attempt, int index, byte[] piece) {
        ByteString data = UnsafeByteOperations.unsafeWrap(piece);
        return Frame.newBuilder()
                .setChunk(
                        Chunk.newBuilder()
                                .setRequestId(requestId)
                                .setAttempt(attempt)
                                .setIndex(index)
                                .setData(data));
    }

    static Frame.Builder finished(String requestId, int attempt, int chunkCount) {
        return Frame.newBuilder()
                .setFinished(
                        Finished.newBuilder()
                                .setRequestId(requestId)
                                .setAttempt(attempt)
                                .setChunkCount(chunkCount));
    }

    /** Refuses a request that an earlier incarnation of this process may have run. */
    static Frame.Builder executorLost(Submit submit) {
        return refused(
                submit.getRequestId(),
                submit.getAttempt(),
                Execution.EXECUTION_UNKNOWN,
                "executor_lost",
                "the process that may have run the request has terminated; check"
                        + " its outcome by other means",
                0);
    }

    /** Refuses a request that may have run before the oldest answer that this process retains. */
    static Frame.Builder grantExpired(Submit submit) {
        return refused(
                submit.getRequestId(),
                submit.getAttempt(),
                Execution.EXECUTION_UNKNOWN,
                "grant_expired",
                "the request is older than the retained answers; check its outcome by other means",
                0);
    }

    static Frame.Builder refused(
            String requestId,
            int attempt,
            Execution execution,
            String code,
            String detail,
            int retryAfterMs) {
        return Frame.newBuilder()
                .setRefused(
                        Refused.newBuilder()
                                .setRequestId(requestId)
                                .setAttempt(attempt)
                                .setExecution(execution)
                                .setCode(code)
                                .setDetail(detail)
                                .setRetryAfterMs(retryAfterMs));
    }
}
