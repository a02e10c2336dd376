package io.pollenpath.standin.platform;

import io.pollenpath.util.Pause;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Stands in for an engine of the platform. It writes HTTP to plain sockets, so that it can also
 * violate the protocol. Paths that start with {@code /stream} get a stream of events and other
 * paths a short answer; queries and commands to a rank are answered as by the only rank of a group.
 */
public final class PlatformEngineStandin implements AutoCloseable {

    /** The number of events in a complete stream. */
    public static final int STREAM_EVENTS = 6;

    private static final int BACKLOG = 64;
    private static final long LISTENING_AT_END_MS = 10;
    private static final String SIGNATURE_HEADER = "Upstream-Signature: proof\r\n";

    private final String id;
    private final ServerSocket listener;
    private final Function<ReceivedRequest, EngineFault> faults;
    private volatile String namedLimit = "";
    private volatile String leaving = "";
    private volatile String refusalTime = "";
    private volatile long bornMs;
    private final Queue<ReceivedRequest> received = new ConcurrentLinkedQueue<>();
    private final AtomicInteger resetCount = new AtomicInteger();
    private final Queue<Socket> openConnections = new ConcurrentLinkedQueue<>();

    /**
     * A request that the engine received.
     *
     * @param method the method
     * @param path the path, including the query string
     * @param headers the headers, with names in lower case
     * @param body the body
     */
    public record ReceivedRequest(
            String method, String path, Map<String, String> headers, String body) {

        /**
         * Returns the value of a header.
         *
         * @param name the name in lower case, not null
         * @return the value, or an empty string if the header is missing
         */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /**
     * Creates an engine and starts listening on the loopback address.
     *
     * @param id the identity of the engine, which starts the body of its answers, not null
     * @param faults the faults of the next requests, one fault each; several engines may share the
     *     queue; not null
     * @throws IOException if no free port is available
     */
    public PlatformEngineStandin(String id, Queue<EngineFault> faults) throws IOException {
        this(id, 0, request -> Objects.requireNonNullElse(faults.poll(), EngineFault.NONE));
    }

    /**
     * Creates an engine and starts listening on the loopback address.
     *
     * @param id the identity of the engine, which starts the body of its answers, not null
     * @param port the port to listen on; 0 for any free one
     * @param faults the work on a request; returns after the time that it takes, with the fault of
     *     the answer; called on the thread of the connection, not null
     * @throws IOException if the port is in use
     */
    public PlatformEngineStandin(String id, int port, Function<ReceivedRequest, EngineFault> faults)
            throws IOException {
        this.id = id;
        this.faults = faults;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        startThread(this::acceptAll);
    }

    /**
     * Names in later answers the rate of requests that this engine takes from all entries together.
     *
     * @param perSecond the value of the header; empty to name none, not null
     */
    public void nameLimit(String perSecond) {
        namedLimit = perSecond.isEmpty() ? "" : "Server-Limit: " + perSecond + "\r\n";
    }

    /** Says in later answers that this engine leaves. */
    public void sayLeaving() {
        leaving = "Server-Leaving: 1\r\n";
    }

    /**
     * Names in later refusals the time for which this engine wants no requests from the caller.
     *
     * @param seconds the value of the header, not null
     */
    public void nameRefusalTime(String seconds) {
        refusalTime = "Retry-After: " + seconds + "\r\n";
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "engine-standin");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the port that the engine listens on.
     *
     * @return the port
     */
    public int port() {
        return listener.getLocalPort();
    }

    /**
     * Returns the requests that the engine received.
     *
     * @return a live view, oldest first
     */
    public Queue<ReceivedRequest> received() {
        return received;
    }

    /**
     * Returns the number of connections that callers reset while the engine gave no answer.
     *
     * @return the number of resets under {@link EngineFault#SILENT}
     */
    public int resetCount() {
        return resetCount.get();
    }

    private void acceptAll() {
        try {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                openConnections.add(socket);
                if (listener.isClosed()) {
                    // The end of the process may have missed this connection.
                    socket.close();
                }
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed, so no more connections arrive.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean reusable = true;
            while (reusable) {
                ReceivedRequest request = RequestReader.read(in);
                received.add(request);
                reusable =
                        ControlAnswers.isControlCall(request.path())
                                ? answerControl(socket, request)
                                : answer(socket, request, faults.apply(request));
            }
        } catch (IOException e) {
            // The caller closed the connection, so nobody waits for an answer.
        }
    }

    private boolean answerControl(Socket socket, ReceivedRequest request) throws IOException {
        String json = ControlAnswers.of(request.path(), bornMs);
        write(socket, responseHead(200, "", "Content-Length: " + json.length() + "\r\n") + json);
        return true;
    }

    /**
     * Sets what this engine tells of its start, as a process does that took its place.
     *
     * @param newBornMs the time, in Unix milliseconds
     */
    public void setBornMs(long newBornMs) {
        bornMs = newBornMs;
    }

    /** Answers a request; returns whether the connection can serve another one. */
    private boolean answer(Socket socket, ReceivedRequest request, EngineFault fault)
            throws IOException {
        String requestId = request.header("request-id");
        switch (fault) {
            case NOT_RUN ->
                    write(
                            socket,
                            responseHeadWithLength(
                                    503, requestId, "Not-Executed: 1\r\n" + refusalTime, 0));
            case OTHER_SERVER -> write(socket, responseHeadWithLength(421, requestId, "", 0));
            case FAILS -> writeFailure(socket, requestId);
            case UNCLEAR_REFUSAL -> write(socket, responseHeadWithLength(503, requestId, "", 0));
            case FOREIGN_ANSWER_FIRST -> {
                write(
                        socket,
                        responseHeadWithLength(200, "foreign", SIGNATURE_HEADER, 7) + "foreign");
                writeWholeAnswer(socket, request);
            }
            case EXTRA_ANSWER -> {
                writeWholeAnswer(socket, request);
                write(
                        socket,
                        responseHeadWithLength(200, requestId, SIGNATURE_HEADER, 5) + "extra");
            }
            case PAUSES_IN_STREAM -> {
                writeStreamHead(socket, request);
                EventStreams.writeWithPause(socket.getOutputStream(), request, STREAM_EVENTS);
            }
            case NONE -> writeWholeAnswer(socket, request);
            default -> {
                endConnection(socket, request, fault);
                return false;
            }
        }
        return true;
    }

    /** Answers a request with a fault after which the connection serves no other one. */
    private void endConnection(Socket socket, ReceivedRequest request, EngineFault fault)
            throws IOException {
        switch (fault) {
            case ANSWER_LOST -> {}
            case GARBAGE -> write(socket, "\u0016nonsense\r\n\r\n");
            case CRASHES -> crash();
            case STALLS_IN_EVENT -> {
                writePartWithoutLength(socket, request);
                EventStreams.writeStalledEvent(socket.getOutputStream());
            }
            case SILENT -> awaitDisconnect(socket);
            case CUT_SHORT -> writeTruncatedAnswer(socket, request);
            case NO_LENGTH -> writeWholeWithoutLength(socket, request);
            case NO_LENGTH_AND_EXTRA_ANSWER -> {
                writeWholeWithoutLength(socket, request);
                writeFailure(socket, request.header("request-id"));
            }
            case FAILS_IN_EVENT -> {
                writePartWithoutLength(socket, request);
                write(socket, EventStreams.isStream(request) ? "id: 4\ndata: pie" : "");
                writeFailure(socket, request.header("request-id"));
            }
            case ENDS_IN_ANSWER -> {
                writePartWithoutLength(socket, request);
                close();
            }
            case ENDS_IN_ANSWER_LISTENING -> {
                writePartWithoutLength(socket, request);
                endListening(socket);
            }
            default -> throw new IllegalStateException(fault + " leaves the connection open");
        }
    }

    private String answerBody(ReceivedRequest request) {
        return id + " " + request.path();
    }

    private void writeWholeAnswer(Socket socket, ReceivedRequest request) throws IOException {
        if (EventStreams.isStream(request)) {
            writeStreamHead(socket, request);
            write(socket, EventStreams.chunk(EventStreams.events(request, STREAM_EVENTS)));
            write(socket, "0\r\n\r\n");
            return;
        }
        String body = answerBody(request);
        String requestId = request.header("request-id");
        write(
                socket,
                responseHeadWithLength(200, requestId, SIGNATURE_HEADER, body.length()) + body);
    }

    private void writeFailure(Socket socket, String requestId) throws IOException {
        write(socket, responseHeadWithLength(500, requestId, SIGNATURE_HEADER, 4) + "oops");
    }

    /** Ends the process, which stops to listen a moment after it has closed a connection. */
    private void endListening(Socket socket) throws IOException {
        socket.close();
        Pause.forMs(LISTENING_AT_END_MS);
        close();
    }

    private void writeWholeWithoutLength(Socket socket, ReceivedRequest request)
            throws IOException {
        writeHeadWithoutLength(socket, request);
        write(
                socket,
                EventStreams.isStream(request)
                        ? EventStreams.events(request, STREAM_EVENTS)
                        : answerBody(request));
    }

    private void writePartWithoutLength(Socket socket, ReceivedRequest request) throws IOException {
        writeHeadWithoutLength(socket, request);
        write(
                socket,
                EventStreams.isStream(request)
                        ? EventStreams.events(request, STREAM_EVENTS / 2)
                        : "part");
    }

    private void writeHeadWithoutLength(Socket socket, ReceivedRequest request) throws IOException {
        String type = EventStreams.isStream(request) ? "Content-Type: text/event-stream\r\n" : "";
        String headers = SIGNATURE_HEADER + type + "Connection: close\r\n";
        write(socket, responseHead(200, request.header("request-id"), headers));
    }

    private void writeTruncatedAnswer(Socket socket, ReceivedRequest request) throws IOException {
        if (EventStreams.isStream(request)) {
            writeStreamHead(socket, request);
            // The last event is incomplete.
            String events = EventStreams.events(request, STREAM_EVENTS / 2);
            write(socket, EventStreams.chunk(events.substring(0, events.length() - 3)));
            return;
        }
        String requestId = request.header("request-id");
        write(socket, responseHeadWithLength(200, requestId, SIGNATURE_HEADER, 99) + "part");
    }

    private void writeStreamHead(Socket socket, ReceivedRequest request) throws IOException {
        String framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        write(socket, responseHead(200, request.header("request-id"), SIGNATURE_HEADER + framing));
    }

    private String responseHeadWithLength(
            int status, String requestId, String headers, int length) {
        return responseHead(status, requestId, headers + "Content-Length: " + length + "\r\n");
    }

    private String responseHead(int status, String requestId, String headers) {
        String named = "Request-Id: " + requestId + "\r\nKeep-Alive: timeout=30\r\n";
        return "HTTP/1.1 "
                + status
                + " Status\r\n"
                + named
                + namedLimit
                + leaving
                + headers
                + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Waits until the caller closes the connection and counts it if it was reset. */
    private void awaitDisconnect(Socket socket) {
        try {
            socket.getInputStream().readAllBytes();
        } catch (IOException e) {
            resetCount.incrementAndGet();
        }
    }

    /**
     * Ends the engine as its process's end does: nothing listens and all connections are reset.
     *
     * @throws IOException if a socket can't be closed
     */
    public void crash() throws IOException {
        listener.close();
        for (Socket socket : openConnections) {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : openConnections) {
            socket.close();
        }
    }
}
