package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.LenientJson;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests answers of the store that are cut, doubled or due to another call. */
class OutOfStepStoreTest {

    private static final int BACKLOG = 16;
    private static final long TIMEOUT_MS = 10_000;
    private static final long LONG_POLL_MS = 50;
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String LIST =
            "{\"Items\":[{\"Metadata\":{\"Name\":\"a\",\"Revision\":3},\"Spec\":{}}],"
                    + "\"HasMore\":false,\"CurrentRev\":7}";
    private static final String CHANGE =
            "{\"events\":[{\"Object\":{\"Metadata\":{\"Name\":\"b\",\"Revision\":8},\"Spec\":{}},"
                    + "\"Deleted\":false}],\"CurrentRev\":8}";
    private static final String NO_CHANGE = "{\"events\":[],\"CurrentRev\":9}";

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final Queue<String> bodies = new ConcurrentLinkedQueue<>();
    private final List<String> queries = new CopyOnWriteArrayList<>();
    private final List<Set<String>> seen = new CopyOnWriteArrayList<>();
    private final SocketServer server;
    private final KindWatch watch;

    OutOfStepStoreTest() throws IOException {
        server =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
        watch =
                new KindWatch(
                        new StoreClient(http, new HttpAddress("127.0.0.1", server.port())),
                        "things",
                        LONG_POLL_MS,
                        0,
                        control,
                        (objects, gap) -> seen.add(Set.copyOf(objects.keySet())));
    }

    /** Answers each call with the next body, without a length if that body is empty. */
    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            queries.add(RequestReader.read(in).path());
            String body = bodies.poll();
            if (body == null) {
                return;
            }
            String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
            String answer = HEAD + length + "\r\n" + body;
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            if (body.isEmpty()) {
                socket.close();
                return;
            }
        }
    }

    @AfterEach
    void stop() throws IOException {
        watch.stop();
        control.shutdownNow();
        http.close();
        loops.close();
        server.close();
    }

    private void play(String... newBodies) throws InterruptedException {
        bodies.addAll(List.of(newBodies));
        watch.start();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (queries.size() <= newBodies.length && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertThat(queries.size()).isGreaterThan(newBodies.length);
    }

    /** Guards against an entry that forgets all servers at an answer that is no list. */
    @ParameterizedTest
    @ValueSource(strings = {"", NO_CHANGE, CHANGE, "{}", "[]"})
    void anAnswerThatIsNoListIsNotTakenForAnEmptyOne(String body) throws InterruptedException {
        play(body, LIST, CHANGE);
        assertThat(seen).containsExactly(Set.of("a"), Set.of("a", "b")).inOrder();
    }

    /** Guards against a late list that is taken for changes, which are skipped then. */
    @ParameterizedTest
    @ValueSource(strings = {"", LIST, "[]"})
    void anAnswerThatHoldsNoChangesSkipsNone(String body) throws InterruptedException {
        String later = body.replace("\"CurrentRev\":7", "\"CurrentRev\":9");
        play(LIST, later, CHANGE);
        assertThat(seen).containsExactly(Set.of("a"), Set.of("a", "b")).inOrder();
        assertThat(queries.get(2)).contains("Watch=7");
    }

    /**
     * Guards against a list that was cut, or goes on with another answer, and is taken as whole.
     */
    @Test
    void aListThatIsCutOrFilledIsNoDocument() {
        String second = HEAD + "Content-Length: " + LIST.length() + "\r\n\r\n" + LIST;
        for (int cut = 1; cut <= LIST.length(); cut++) {
            for (int filled = 0; filled <= second.length(); filled++) {
                boolean whole = cut == LIST.length() && filled == 0;
                String body = LIST.substring(0, cut) + second.substring(0, filled);
                assertWithMessage(body).that(isDocument(body)).isEqualTo(whole);
            }
        }
    }

    private static boolean isDocument(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try {
            return LenientJson.parse(bytes).isObject();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
