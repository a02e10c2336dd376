package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class EngineApiTest {

    private static final int COMMANDS = 200;

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final Logger logger = (Logger) LoggerFactory.getLogger(EngineApi.class);
    private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

    @BeforeEach
    void recordLog() {
        lines.start();
        logger.addAppender(lines);
    }

    @AfterEach
    void stop() {
        logger.detachAppender(lines);
        http.close();
        loops.close();
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Test
    void anEngineThatIsGoneIsLoggedOnceAndNotForEachCommand() throws IOException {
        EngineApi engine = EngineApi.remote(http, new HttpAddress("127.0.0.1", closedPort()));
        for (int i = 0; i < COMMANDS; i++) {
            assertThat(engine.send(new EngineCommand.Hold(i), 1, 1).join())
                    .isEqualTo(CommandResult.UNKNOWN);
        }
        assertThat(lines.list).hasSize(1);
        assertThat(lines.list.get(0).getFormattedMessage())
                .contains("event=engine_order_unanswered");
    }
}
