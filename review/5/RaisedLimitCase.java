package review.raisedlimit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import review.common.Caller;
import review.common.CaseMain;
import review.common.CaseRecord;
import review.common.Deployment;
import review.common.Http;
import review.common.Manifests;
import review.common.StoreStandin;

/**
 * The operator raises the limit on headers; a caller then uses it on a connection that it has kept.
 */
public final class RaisedLimitCase {

    private static final String SERVICE = "dispatch";
    private static final String ROUTE = "alert";
    private static final String ADDED_ROUTE = "added";
    private static final int ENGINES = 3;
    private static final int SLOTS = 6;
    private static final int FIRST_LIMIT_BYTES = 8_192;
    private static final int RAISED_LIMIT_BYTES = 16_384;
    private static final int LONG_HEADER_BYTES = 10_000;
    private static final int BODY_BYTES = 600;
    private static final long TIMEOUT_MS = 1_000;
    private static final long CONFIG_APPLY_MS = 2_000;

    private final CaseRecord record;
    private final boolean trouble;
    private final Map<String, Integer> bodyBytesRun = new ConcurrentHashMap<>();

    private RaisedLimitCase(CaseRecord record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** Runs the case. */
    public static void main(String[] arguments) {
        CaseMain.run(arguments, (record, trouble) -> new RaisedLimitCase(record, trouble).isBroken());
    }

    private boolean isBroken() throws IOException {
        try (StoreStandin store = new StoreStandin();
                Deployment deployment = new Deployment(store.address())) {
            store.put("config", "main", manifest(trouble ? FIRST_LIMIT_BYTES : RAISED_LIMIT_BYTES));
            for (int i = 0; i < ENGINES; i++) {
                store.put("servers", "engine-" + i, Manifests.server(SERVICE, startEngine(i), SLOTS));
            }
            record.add("settings and logs: " + deployment.folder());
            Deployment.Entry entry = deployment.startEntry(1);
            deployment.awaitInTouch(entry, record);
            return isOtherRequestRun(store, entry);
        }
    }

    private boolean isOtherRequestRun(StoreStandin store, Deployment.Entry entry)
            throws IOException {
        try (Socket kept = new Socket(entry.ip(), entry.callerPort())) {
            InputStream in = new BufferedInputStream(kept.getInputStream());
            call(kept, in, "alert-short", "");
            if (trouble) {
                raiseLimit(store, entry);
            }
            int status = call(kept, in, "alert-long", "X-Findings: " + "f".repeat(LONG_HEADER_BYTES));
            Integer ran = bodyBytesRun.get("alert-long");
            boolean changed = ran != null && ran != BODY_BYTES;
            if (changed) {
                record.add(
                        "UNASKED: an engine ran alert-long with a body of " + ran + " bytes instead of "
                                + BODY_BYTES + "; the caller got " + status);
            }
            return changed;
        }
    }

    private static ObjectNode manifest(int maxHeaderBytes) {
        ObjectNode manifest = Manifests.empty();
        ((ObjectNode) manifest.get("Limits")).put("MaxHeaderBytes", maxHeaderBytes);
        Manifests.addService(manifest, SERVICE, 100);
        Manifests.addRoute(manifest, ROUTE, "non_idempotent", SERVICE, TIMEOUT_MS);
        return manifest;
    }

    /** Writes a version with a higher limit and one more route; waits until the entry serves it. */
    private void raiseLimit(StoreStandin store, Deployment.Entry entry) {
        ObjectNode raised = manifest(RAISED_LIMIT_BYTES).put("Version", 8);
        Manifests.addRoute(raised, ADDED_ROUTE, "idempotent", SERVICE, TIMEOUT_MS);
        store.put("config", "main", raised);
        record.add("the store has acknowledged version 8, MaxHeaderBytes " + RAISED_LIMIT_BYTES);
        Caller prober = new Caller(entry, record);
        long ackedNanos = System.nanoTime();
        Deployment.await(
                "ConfigApplyMs has passed",
                2 * CONFIG_APPLY_MS,
                () -> System.nanoTime() - ackedNanos > TimeUnit.MILLISECONDS.toNanos(CONFIG_APPLY_MS));
        record.add("ConfigApplyMs (" + CONFIG_APPLY_MS + ") has passed since the acknowledgement");
        Deployment.await(
                "version 8 is in force",
                10_000,
                () ->
                        prober.call("probe", "/" + ADDED_ROUTE + "/x", "", new byte[0], 1_000, 1_000)
                                        .status()
                                == 200);
    }

    private int call(Socket socket, InputStream in, String id, String moreHeader) throws IOException {
        String head =
                String.join(
                        "\r\n",
                        "POST /" + ROUTE + "/x HTTP/1.1",
                        "Host: " + Manifests.HOST,
                        "Request-Id: " + id,
                        "Authorization: Bearer " + Manifests.KEY,
                        "Deadline-Ms: " + TIMEOUT_MS,
                        "Content-Length: " + BODY_BYTES,
                        moreHeader.isEmpty() ? "X-Findings: none" : moreHeader,
                        "",
                        "");
        record.add("caller sends " + id + ", head " + head.length() + " bytes, body " + BODY_BYTES);
        socket.setSoTimeout(5_000);
        String request = head + "b".repeat(BODY_BYTES);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Http.Head answer = Http.readHead(in);
        String body = new String(Http.readBody(in, answer), StandardCharsets.UTF_8);
        record.add("caller got  " + id + " status " + answer.status() + ": " + body);
        return answer.status();
    }

    private int startEngine(int number) throws IOException {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        startThread(() -> accept(number, listener));
        return listener.getLocalPort();
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "engine");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(int number, ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                startThread(() -> serve(number, socket));
            }
        } catch (IOException e) {
            // The case has ended.
        }
    }

    private void serve(int number, Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                byte[] body = Http.readBody(in, head);
                String id = head.header("request-id");
                bodyBytesRun.put(id, body.length);
                String shown = head.firstLine() + " " + id + ", body " + body.length + " bytes, "
                        + "X-Findings " + head.header("x-findings").length() + " bytes";
                record.add("engine-" + number + " runs " + shown);
                String answer =
                        "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Signature: proof\r\n"
                                + "Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }
}
