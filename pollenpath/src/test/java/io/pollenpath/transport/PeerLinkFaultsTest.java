package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Leaving;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that a peer server closes a link that sends an invalid frame, without handling the frame.
 */
class PeerLinkFaultsTest {

    private static final int TIMEOUT_MS = 20_000;
    private static final int MAX_FRAME_BYTES = 1_024;

    private final NettyLoops loops = new NettyLoops(1);
    private final LinkedBlockingQueue<Frame> received = new LinkedBlockingQueue<>();
    private final PeerServer server =
            new PeerServer(
                    loops,
                    "127.0.0.1",
                    0,
                    new PeerLimits(MAX_FRAME_BYTES, 2, TIMEOUT_MS),
                    ChannelSecurity.PLAINTEXT,
                    new RecordingHandler(),
                    new MetricRegistry());

    private final class RecordingHandler implements PeerHandler {
        @Override
        public void onOpen(PeerChannel peer) {
            peer.send(leavingFrame("hello"));
        }

        @Override
        public void onFrame(PeerChannel peer, Frame frame) {
            received.add(frame);
        }

        @Override
        public void onClose(PeerChannel peer) {
            received.add(Frame.getDefaultInstance());
        }
    }

    private static Frame.Builder leavingFrame(String reason) {
        return Frame.newBuilder().setLeaving(Leaving.newBuilder().setReason(reason));
    }

    record InvalidFrame(String fault, int length, byte[] body) {
        @Override
        public String toString() {
            return fault;
        }
    }

    static List<InvalidFrame> invalidFrames() {
        byte[] unknownVersion = leavingFrame("x").setVersion(99).build().toByteArray();
        byte[] noVersion = leavingFrame("x").build().toByteArray();
        byte[] good = leavingFrame("x").setVersion(1).build().toByteArray();
        return List.of(
                new InvalidFrame("negative length", -1, new byte[0]),
                new InvalidFrame("oversized", MAX_FRAME_BYTES + 1, new byte[MAX_FRAME_BYTES + 1]),
                new InvalidFrame("unknown version", unknownVersion.length, unknownVersion),
                new InvalidFrame("no version", noVersion.length, noVersion),
                new InvalidFrame("length too short", good.length - 1, good),
                new InvalidFrame("no protobuf", 4, new byte[] {-1, -1, -1, -1}));
    }

    @AfterEach
    void stop() {
        server.close();
        loops.close();
    }

    @ParameterizedTest
    @MethodSource("invalidFrames")
    void closesTheLinkWithoutHandlingTheFrame(InvalidFrame invalid) throws Exception {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(encodeFrame(invalid.length(), invalid.body()));
            assertThat(socket.getInputStream().readAllBytes()).isNotEmpty();
        }
        assertThat(received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS))
                .isEqualTo(Frame.getDefaultInstance());
    }

    @Test
    void refusesLinksBeyondTheLimit() throws IOException {
        try (Socket first = connect();
                Socket second = connect();
                Socket third = connect()) {
            assertThat(first.getInputStream().read()).isAtLeast(0);
            assertThat(second.getInputStream().read()).isAtLeast(0);
            assertThat(third.getInputStream().read()).isEqualTo(-1);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static byte[] encodeFrame(int length, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(length);
        out.write(body);
        return bytes.toByteArray();
    }
}
