package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests answers that a server cuts within the body and goes on with a second answer. */
class SplicedAnswerTest {

    private static final String EVENTS =
            "id: 1\ndata: one\n\nid: 2\ndata: " + "two".repeat(90) + "\n\n";
    private static final String LETTER = "The letter that the caller asked for. ".repeat(20);
    private static final String FAILURE_BODY = "oops".repeat(300);
    private static final int STEP = 97;

    /** A status line and the field with the request's ID; less can't be told from a body. */
    private static final int MIN_SPLICE = 45;

    private static String head(String requestId, int status, String fields) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nRequest-Id: "
                + requestId
                + "\r\nUpstream-Signature: proof\r\nKeep-Alive: timeout=30\r\n"
                + fields
                + "\r\n";
    }

    private static String failure(String requestId) {
        return head(requestId, 500, "Content-Length: " + FAILURE_BODY.length() + "\r\n")
                + FAILURE_BODY;
    }

    /** Answers a path that ends with "-CUT" by an answer that is cut there, and a second one. */
    private static String answer(PlatformEngineStandin.ReceivedRequest request) {
        String id = request.header("request-id");
        String path = request.path();
        if (path.endsWith("/ready")) {
            return head(id, 200, "Content-Length: 2\r\n") + "ok";
        }
        int cut = Integer.parseInt(path.substring(path.lastIndexOf('-') + 1));
        boolean chunked = path.contains("chunks");
        String body = path.startsWith("/stream") ? EVENTS : LETTER;
        String type = path.startsWith("/stream") ? "Content-Type: text/event-stream\r\n" : "";
        String framing =
                chunked
                        ? "Transfer-Encoding: chunked\r\n"
                        : "Content-Length: " + body.length() + "\r\n";
        String chunkHead = chunked ? Integer.toHexString(body.length()) + "\r\n" : "";
        return head(id, 200, type + framing) + chunkHead + body.substring(0, cut) + failure(id);
    }

    private static List<ScriptedEngine> startEngine(PlatformStoreStandin store) throws IOException {
        return List.of(new ScriptedEngine("engine-0", store, SplicedAnswerTest::answer));
    }

    /** Guards against a whole answer, or a piece of a stream, with the bytes of a second answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/once/length",
                "/once/chunks",
                "/stream-final/length",
                "/stream-final/chunks"
            })
    void noPieceOfASecondAnswerIsPassedOn(String path) throws IOException {
        String body = path.startsWith("/stream") ? EVENTS : LETTER;
        try (EntryFleet fleet =
                new EntryFleet(
                        1,
                        PlatformFixtures.manifest(1, EntryFleet.SERVICE),
                        SplicedAnswerTest::startEngine)) {
            for (int cut = 1; cut < body.length() - MIN_SPLICE; cut += STEP) {
                String got = call(fleet, path + "-" + cut, cut);
                assertWithMessage(path + " cut after " + cut + " bytes: " + got)
                        .that(got.contains("HTTP/1.1 500") || got.contains("oops"))
                        .isFalse();
            }
        }
    }

    /** Returns all bytes that a caller gets. */
    private static String call(EntryFleet fleet, String path, int cut) throws IOException {
        try (RawCaller caller = new RawCaller(fleet.callerAddress(0))) {
            caller.send(
                    RawCaller.head("cut-" + cut, path, "Content-Length: 2", "Connection: close")
                            + "{}");
            String got = caller.readAll();
            assertThat(got).startsWith("HTTP/1.1 ");
            return got;
        }
    }
}
