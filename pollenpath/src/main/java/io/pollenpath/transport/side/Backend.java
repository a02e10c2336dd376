package io.pollenpath.transport.side;

import io.pollenpath.protocol.wire.Submit;

/** The backend server that this side process fronts. */
public interface Backend {

    /** Receives the answer of one run, in order; called on any thread. */
    interface Listener {

        /**
         * Is called with the head of the answer.
         *
         * @param status the HTTP status of the backend server
         * @param contentType the media type, empty if none was sent
         */
        void onHead(int status, String contentType);

        /**
         * Is called with the next piece of the answer.
         *
         * @param piece the bytes; the data of one event if the answer is an event stream
         */
        void onPiece(byte[] piece);

        /** Is called when the answer is complete. */
        void onEnd();

        /**
         * Is called when the run failed; no other call follows.
         *
         * @param cause why the run failed
         * @param started false if the backend server certainly did not receive the request
         */
        void onLost(Throwable cause, boolean started);
    }

    /** Controls one run. */
    interface Run {

        /** Cancels the run; a backend server without cancellation may finish it anyway. */
        void cancel();

        /**
         * Pauses or resumes reading the answer from the backend server.
         *
         * @param reading false to pause
         */
        void setReading(boolean reading);
    }

    /**
     * Sends a request to the backend server.
     *
     * @param submit the request, not null
     * @param traceparent the trace context of this hop, not null
     * @param listener receives the answer, not null
     * @return the control handle of the run
     */
    Run run(Submit submit, String traceparent, Listener listener);
}
