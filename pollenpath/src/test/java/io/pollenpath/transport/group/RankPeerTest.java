package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.transport.HttpAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

class RankPeerTest {

    private static final EngineCommand COMMAND = new EngineCommand.Arm(7, 5);
    private static final long TIMEOUT_MS = 200;

    private boolean agentAnswers;
    private int agentCalls;
    private int engineCalls;

    private final RankPeer peer =
            new RankPeer(
                    this::callAgent,
                    new AgentAddress(new HttpAddress("agent", 1), new HttpAddress("engine", 1)),
                    Optional.of(new CountingEngine()));

    private final class CountingEngine implements EngineControl {

        @Override
        public CompletableFuture<RankStatus> status() {
            throw new UnsupportedOperationException("not called by commands");
        }

        @Override
        public CompletableFuture<long[]> counts() {
            throw new UnsupportedOperationException("not called by commands");
        }

        @Override
        public CompletableFuture<List<List<Integer>>> experts() {
            throw new UnsupportedOperationException("not called by commands");
        }

        @Override
        public CompletableFuture<CommandResult> send(
                EngineCommand command, long epoch, long token) {
            engineCalls++;
            return CompletableFuture.completedFuture(CommandResult.ACCEPTED);
        }
    }

    private CompletableFuture<byte[]> callAgent(
            HttpAddress agent, String path, byte[] body, long timeoutMs) {
        agentCalls++;
        if (!agentAnswers) {
            return CompletableFuture.failedFuture(new TimeoutException());
        }
        RankReport report =
                new RankReport(
                        Optional.of(CommandResult.ACCEPTED),
                        Optional.empty(),
                        new long[0],
                        List.of(),
                        0,
                        0);
        return CompletableFuture.completedFuture(GroupMessages.encode(report));
    }

    private CommandResult send() {
        return send(COMMAND);
    }

    private CommandResult send(EngineCommand command) {
        byte[] body = GroupMessages.encode(command, "g", 1, 2);
        return peer.command(command, body, 1, 2, TIMEOUT_MS).join().outcome().orElseThrow();
    }

    @Test
    void stepsAreHeldPastTheAgentAndReleasedByIt() {
        agentAnswers = true;
        send(new EngineCommand.Hold(5));
        send(new EngineCommand.Release(5));
        assertThat(engineCalls).isEqualTo(1);
        assertThat(agentCalls).isEqualTo(1);
    }

    @Test
    void aStepIsReleasedPastAnAgentThatMissesOneCall() {
        assertThat(send(new EngineCommand.Release(5))).isEqualTo(CommandResult.UNKNOWN);
        assertThat(send(new EngineCommand.Release(5))).isEqualTo(CommandResult.ACCEPTED);
        assertThat(engineCalls).isEqualTo(1);
        assertThat(agentCalls).isEqualTo(1);
    }

    @Test
    void anAgentThatMissesOneCallIsNotBypassed() {
        assertThat(send()).isEqualTo(CommandResult.UNKNOWN);
        agentAnswers = true;
        assertThat(send()).isEqualTo(CommandResult.ACCEPTED);
        assertThat(engineCalls).isEqualTo(0);
    }

    @Test
    void theEngineOfAnAgentThatIsGoneIsCalledDirectly() {
        for (int call = 0; call < 5; call++) {
            send();
        }
        assertThat(engineCalls).isEqualTo(2);
        assertThat(agentCalls).isEqualTo(3);
    }

    @Test
    void anAgentThatAnswersAQueryIsCalledAgain() {
        for (int call = 0; call < 4; call++) {
            send();
        }
        agentAnswers = true;
        peer.query(new RankStatusQuery("g", 2, false, false), TIMEOUT_MS).join();
        send();
        assertThat(engineCalls).isEqualTo(1);
    }
}
