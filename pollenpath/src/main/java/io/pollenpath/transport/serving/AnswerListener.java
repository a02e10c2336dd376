package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;

/**
 * Hears the answer to one send of a request. A step that fails ends the request, and nothing of it
 * reaches the connection.
 */
final class AnswerListener implements BackendListener {

    private final ForwardedRequest request;

    /**
     * Creates a listener.
     *
     * @param request reads the answer, not null
     */
    AnswerListener(ForwardedRequest request) {
        this.request = request;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
        request.guard(() -> request.readHead(status, headers));
    }

    @Override
    public void onData(byte[] bytes) {
        request.guard(() -> request.readData(bytes));
    }

    @Override
    public AnswerEnd judgeEnd(byte[] behind) {
        return request.answer().end(behind);
    }

    @Override
    public boolean takesWholeChunks() {
        return request.answer().isForwardedStream();
    }

    @Override
    public long endWaitMs(AnswerEnd end) {
        long maxMs = Math.max(0, request.timeLeftMs(System.nanoTime()) / 2);
        return Math.min(maxMs, request.answer().endWaitMs(end));
    }

    @Override
    public void onEnd(byte[] behind) {
        request.guard(() -> request.readEnd(behind));
    }

    @Override
    public void onEndByClose() {
        request.guard(request::readEndByClose);
    }

    @Override
    public void onFailed(SendOutcome outcome, String cause) {
        request.guard(() -> request.endSend(request.answer().outcomeOfFailure(outcome), cause));
    }
}
