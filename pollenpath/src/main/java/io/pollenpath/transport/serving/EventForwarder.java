package io.pollenpath.transport.serving;

import java.util.List;

/** Passes the events of the streams that answer one request on to its caller. */
final class EventForwarder {

    private final Gateway gateway;
    private final ForwardedRequest request;
    private final SendProgress progress;
    private final AnswerReading reading;
    private final CallerReply reply;

    EventForwarder(
            Gateway gateway,
            ForwardedRequest request,
            SendProgress progress,
            AnswerReading reading,
            CallerReply reply) {
        this.gateway = gateway;
        this.request = request;
        this.progress = progress;
        this.reading = reading;
        this.reply = reply;
    }

    /**
     * Forwards events that came together.
     *
     * @param answer the answer that they are a part of, not null
     * @param completeEvents the events, in their order, not null
     */
    void forward(ServerAnswer answer, List<EventSplitter.Event> completeEvents) {
        long nowNanos = System.nanoTime();
        for (EventSplitter.Event event : completeEvents) {
            count(answer, event, nowNanos);
        }
        if (reply.writeEvents(completeEvents) > 0) {
            long gapNanos = progress.onEvent(nowNanos);
            if (gapNanos > 0) {
                gateway.onEventGap(request, gapNanos, nowNanos);
            }
        }
        reading.setCallerTakes(reply.isWritable());
    }

    private void count(ServerAnswer answer, EventSplitter.Event event, long nowNanos) {
        if (!event.hasFields()) {
            return;
        }
        progress.onProgress(nowNanos);
        if (answer.countEvent()) {
            gateway.onAnswerGoesOn(request);
        }
    }
}
