package io.pollenpath.transport.side;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpClientCall;
import io.pollenpath.transport.SseParser;
import io.pollenpath.transport.Traces;
import java.util.Map;

/** A backend server that is reached by HTTP and may stream its answers as server-sent events. */
public final class HttpBackend implements Backend {

    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpClient client;
    private final HttpAddress address;
    private final int maxEventBytes;

    /**
     * Creates the backend.
     *
     * @param client sends the requests, not null
     * @param address where the backend server listens, not null
     * @param maxEventBytes the largest event of a streamed answer, in bytes
     */
    public HttpBackend(HttpClient client, HttpAddress address, int maxEventBytes) {
        this.client = client;
        this.address = address;
        this.maxEventBytes = maxEventBytes;
    }

    @Override
    public Run run(Submit submit, String traceparent, Listener listener) {
        Map<String, String> headers =
                Map.of(
                        "content-type",
                        "application/json",
                        Traces.TRACEPARENT,
                        traceparent,
                        "x-request-id",
                        submit.getRequestId(),
                        "x-priority",
                        Integer.toString(submit.getPriority()));
        HttpClient.Request request =
                new HttpClient.Request(
                        address, "POST", submit.getPath(), headers, submit.getBody().toByteArray());
        Relay relay = new Relay(listener, maxEventBytes);
        HttpClientCall call = client.stream(request, relay);
        relay.setOnOverflow(call::cancel);
        return new CallRun(call);
    }

    private record CallRun(HttpClientCall call) implements Run {
        @Override
        public void cancel() {
            call.cancel();
        }

        @Override
        public void setReading(boolean reading) {
            call.setReading(reading);
        }
    }

    private static final class Relay implements HttpClient.Listener {
        private final Listener listener;
        private final SseParser events;
        private boolean eventStream;
        private boolean overflowed;
        private Runnable onOverflow = () -> {};

        Relay(Listener listener, int maxEventBytes) {
            this.listener = listener;
            events = new SseParser(listener::onPiece, maxEventBytes);
        }

        synchronized void setOnOverflow(Runnable action) {
            onOverflow = action;
            if (overflowed) {
                action.run();
            }
        }

        /** Fails and cancels a run with an event that is larger than the limit. */
        private synchronized void overflow(IllegalStateException cause) {
            overflowed = true;
            listener.onLost(cause, true);
            onOverflow.run();
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            String contentType = headers.get("content-type", "");
            eventStream = contentType.startsWith(EVENT_STREAM);
            listener.onHead(status, contentType);
        }

        @Override
        public void onData(byte[] piece) {
            if (overflowed) {
                return;
            }
            if (eventStream) {
                parseEvents(piece);
            } else {
                listener.onPiece(piece);
            }
        }

        private void parseEvents(byte[] piece) {
            try {
                events.feed(piece);
            } catch (IllegalStateException e) {
                overflow(e);
            }
        }

        @Override
        public void onEnd() {
            if (!overflowed) {
                listener.onEnd();
            }
        }

        @Override
        public void onFailure(Throwable cause, boolean sent) {
            if (!overflowed) {
                listener.onLost(cause, sent);
            }
        }
    }
}
