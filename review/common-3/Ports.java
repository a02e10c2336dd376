package review3;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Finds free ports of the loopback address. */
public final class Ports {

    public static final String HOST = "127.0.0.1";

    private static final Random RANDOM = new Random();

    /** The ports that were given out, which may not be in use yet. */
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    public static int free() {
        return range(1);
    }

    /** Returns the first of several free ports in a row. */
    public static synchronized int range(int count) {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int first = 20_000 + RANDOM.nextInt(10_000);
            Set<Integer> range =
                    IntStream.range(first, first + count).boxed().collect(Collectors.toSet());
            if (Collections.disjoint(range, GIVEN) && areFree(first, count)) {
                GIVEN.addAll(range);
                return first;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private static boolean areFree(int first, int count) {
        List<ServerSocket> bound = new ArrayList<>();
        try {
            for (int port = first; port < first + count; port++) {
                ServerSocket socket = new ServerSocket();
                bound.add(socket);
                socket.bind(new InetSocketAddress(InetAddress.getByName(HOST), port));
            }
            return true;
        } catch (IOException e) {
            return false;
        } finally {
            bound.forEach(Ports::close);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
