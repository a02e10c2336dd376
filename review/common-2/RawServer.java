package io.pollenpath.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on plain sockets, for engines that write what no HTTP library would write. */
public final class RawServer implements AutoCloseable {

    private static final int BACKLOG = 256;

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /**
     * A request.
     *
     * @param path the path, with the query
     * @param headers the headers, with names in lower case
     */
    public record Request(String path, Map<String, String> headers) {

        /** Returns the value of a header; empty if it is missing. */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Answers the requests of a connection. */
    public interface Handler {

        /** Answers a request; returns whether the connection may carry another one. */
        boolean answer(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    /** Starts listening on a free port of the loopback address. */
    public RawServer(Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        start(this::acceptAll);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean goesOn = true;
            while (goesOn) {
                goesOn = handler.answer(read(in), socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String[] start = readLine(in).split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, line.substring(colon + 1).trim());
        }
        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(start[1], headers);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
