package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpCallException;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpObjectApi;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.side.Backend;
import io.pollenpath.transport.side.HttpBackend;
import io.pollenpath.util.Json;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what the process's own calls believe of answers that HTTP's grammar doesn't allow. */
class BrokenCallAnswersTest {

    private static final int BACKLOG = 16;
    private static final int TIMEOUT_MS = 2_000;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int FENCED = 412;
    private static final String LIST = "{\"Items\":[],\"HasMore\":false,\"CurrentRev\":7}";
    private static final String CHANGES = "{\"events\":[],\"CurrentRev\":9}";
    private static final String OBJECT =
            "{\"Metadata\":{\"Name\":\"a\",\"Revision\":3},\"Spec\":{}}";
    private static final String REPORT =
            "{\"group\":{\"Name\":\"g\",\"epoch\":1,\"rank\":0,\"State\":\"open\"},\"size\":1}";
    private static final String COUNTS = "{\"step\":1,\"epoch\":1,\"Counts\":[5]}";

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final SocketServer server;
    private final HttpAddress address;
    private volatile String answer = "";

    /** Where an answer is broken. */
    private enum Flaw {
        STATUS,
        NAME,
        TRAILER;

        /** Returns an answer that would be sound but for the flaw. */
        String in(int status, String body) {
            String code = this == STATUS ? "000" : Integer.toString(status);
            String field = this == NAME ? "X-Odd Name: a\r\n" : "";
            String head = "HTTP/1.1 " + code + " Status\r\n" + field + "Store-Era: 9\r\n";
            if (this != TRAILER) {
                return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            }
            String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
            String end = "0\r\nX-Odd : a\r\n\r\n";
            return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + end;
        }
    }

    BrokenCallAnswersTest() throws IOException {
        server =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
        address = new HttpAddress("127.0.0.1", server.port());
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            RequestReader.read(in);
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    @AfterEach
    void stop() throws IOException {
        http.close();
        loops.close();
        server.close();
    }

    /** Returns why a call failed. */
    private static Throwable failureOf(CompletableFuture<?> call) {
        ExecutionException failure =
                assertThrows(
                        ExecutionException.class,
                        () -> call.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        return failure.getCause();
    }

    private static void assertOutcomeUnknown(CompletableFuture<?> call) {
        Throwable failure = failureOf(call);
        assertThat(failure).isInstanceOf(HttpCallException.class);
        assertThat(((HttpCallException) failure).sent()).isTrue();
    }

    /** Guards against a write that is taken as done, or as refused, and an era that never was. */
    @ParameterizedTest
    @EnumSource(Flaw.class)
    void aWriteToTheStoreHasAnUnknownOutcome(Flaw flaw) {
        StoreClient store = new StoreClient(http, address);
        for (int status : List.of(OK, CONFLICT)) {
            answer = flaw.in(status, OBJECT);
            assertOutcomeUnknown(store.replace("things", "a", Json.object(), 2, TIMEOUT_MS));
        }
        assertThat(store.era().changeCount()).isEqualTo(0);
        assertThat(store.era().current()).isNotEqualTo(9);
    }

    /** Guards against a list that hides objects, and a watch that skips changes or lists anew. */
    @ParameterizedTest
    @EnumSource(Flaw.class)
    void aReadOfTheStoreFails(Flaw flaw) {
        StoreClient store = new StoreClient(http, address);
        answer = flaw.in(OK, LIST);
        assertOutcomeUnknown(store.list("things", "", TIMEOUT_MS));
        answer = flaw.in(OK, CHANGES);
        assertOutcomeUnknown(store.watch("things", 7, 0, TIMEOUT_MS));
        answer = flaw.in(GONE, "{}");
        assertOutcomeUnknown(store.watch("things", 7, 0, TIMEOUT_MS));
    }

    @ParameterizedTest
    @EnumSource(Flaw.class)
    void aReportOfAnEngineFails(Flaw flaw) {
        EngineApi engine = EngineApi.remote(http, address);
        answer = flaw.in(OK, REPORT);
        assertOutcomeUnknown(engine.status());
        answer = flaw.in(OK, COUNTS);
        assertOutcomeUnknown(engine.counts());
        assertOutcomeUnknown(engine.experts());
    }

    /** Guards against a leader that takes an order as carried out, or itself as replaced. */
    @ParameterizedTest
    @EnumSource(Flaw.class)
    void anOrderToAnEngineHasAnUnknownResult(Flaw flaw) throws Exception {
        EngineApi engine = EngineApi.local(http, address);
        for (int status : List.of(OK, CONFLICT, FENCED)) {
            answer = flaw.in(status, "{}");
            CompletableFuture<CommandResult> result = engine.send(new EngineCommand.Hold(1), 1, 1);
            assertThat(result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .isEqualTo(CommandResult.UNKNOWN);
        }
    }

    /** Guards against a write of an operator that is shown as done or as refused. */
    @ParameterizedTest
    @EnumSource(Flaw.class)
    void aWriteToTheObjectApiHasAnUnknownOutcome(Flaw flaw) {
        HttpObjectApi api = new HttpObjectApi(http, address, TIMEOUT_MS);
        for (int status : List.of(OK, CONFLICT)) {
            answer = flaw.in(status, "{}");
            assertKind(ObjectApiException.Kind.OUTCOME_UNKNOWN, api.delete("Contract", "a", 1));
            assertKind(ObjectApiException.Kind.UNAVAILABLE, api.get("Contract", "a"));
            assertKind(ObjectApiException.Kind.UNAVAILABLE, api.list("Contract"));
        }
    }

    private static void assertKind(ObjectApiException.Kind kind, CompletableFuture<?> call) {
        assertThat(((ObjectApiException) failureOf(call)).kind()).isEqualTo(kind);
    }

    /** Guards against a watch whose revision counts as gone. */
    @ParameterizedTest
    @EnumSource(names = {"STATUS", "NAME"})
    void aWatchOfTheObjectApiCanBeStartedAgain(Flaw flaw) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        answer = flaw.in(GONE, "");
        new HttpObjectApi(http, address, TIMEOUT_MS).watch("Contract", 1, closing(closed));
        assertKind(ObjectApiException.Kind.UNAVAILABLE, closed);
    }

    private static ObjectApi.WatchListener closing(CompletableFuture<Void> closed) {
        return new ObjectApi.WatchListener() {
            @Override
            public void onChanged(ApiObject object) {}

            @Override
            public void onDeleted(ApiObject object) {}

            @Override
            public void onBookmark(long revision) {}

            @Override
            public void onClosed(ObjectApiException cause) {
                closed.completeExceptionally(cause);
            }
        };
    }

    /** Guards against a run whose answer is kept, and given to callers, as the server's. */
    @ParameterizedTest
    @EnumSource(Flaw.class)
    void aRunOfTheSideProcessIsLost(Flaw flaw) throws Exception {
        answer = flaw.in(OK, "done");
        List<String> heard = new ArrayList<>();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        new HttpBackend(http, address, TIMEOUT_MS)
                .run(Submit.newBuilder().setPath("/x").build(), "", recording(heard, ended));
        ended.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(heard.get(heard.size() - 1)).isEqualTo("lost, started");
        if (flaw != Flaw.TRAILER) {
            assertThat(heard).hasSize(1);
        }
    }

    private static Backend.Listener recording(List<String> heard, CompletableFuture<Void> ended) {
        return new Backend.Listener() {
            @Override
            public void onHead(int status, String contentType) {
                heard.add("head");
            }

            @Override
            public void onPiece(byte[] piece) {
                heard.add("piece");
            }

            @Override
            public void onEnd() {
                heard.add("end");
                ended.complete(null);
            }

            @Override
            public void onLost(Throwable cause, boolean started) {
                heard.add(started ? "lost, started" : "lost");
                ended.complete(null);
            }
        };
    }
}
