package review3;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A link to one address. While it is cut, bytes and the ends of connections wait on it, as on a
 * network whose packets are sent again until they arrive, and new connections are not answered.
 */
public final class Link implements AutoCloseable {

    private final ServerSocket listener;
    private final int target;
    private boolean cut;

    public Link(int port, int target) throws IOException {
        this.target = target;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(Ports.HOST), port));
        thread(this::accept);
    }

    public synchronized void cut() {
        cut = true;
    }

    public synchronized void heal() {
        cut = false;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "link");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                thread(() -> connect(near));
            }
        } catch (IOException e) {
            // The link is closed.
        }
    }

    private void connect(Socket near) {
        try {
            awaitPath();
            Socket far = new Socket();
            far.connect(new InetSocketAddress(InetAddress.getByName(Ports.HOST), target), 500);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            thread(() -> carry(near, far));
            carry(far, near);
        } catch (IOException e) {
            reset(near);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Passes on bytes in one direction, then the end or the reset behind them. */
    private void carry(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPath();
                to.getOutputStream().write(buffer, 0, count);
            }
            awaitPath();
            to.shutdownOutput();
        } catch (IOException e) {
            resetBoth(from, to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Passes on a reset, once there is a path for it. */
    private void resetBoth(Socket from, Socket to) {
        try {
            awaitPath();
            reset(to);
            reset(from);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
