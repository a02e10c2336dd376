package io.pollenpath.transport.serving;

import io.netty.channel.EventLoop;
import io.pollenpath.state.serving.ServerInstance;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Checks whether the server of an answer that ended with its connection still runs. An answer whose
 * end nothing else shows is whole only if the same process runs after it: one that crashed may have
 * been replaced at its address.
 */
final class AnswerEndCheck {

    private final EventLoop loop;
    private final BackendConnectionPool backends;
    private final RequestLog log;

    /** Without it, a process that listens counts as the one that answered. */
    private ServerIncarnations incarnations =
            server -> CompletableFuture.completedFuture(server.incarnation());

    AnswerEndCheck(EventLoop loop, BackendConnectionPool backends, RequestLog log) {
        this.loop = loop;
        this.backends = backends;
        this.log = log;
    }

    /** Sets who knows which process runs as a server. */
    void setIncarnations(ServerIncarnations newIncarnations) {
        incarnations = newIncarnations;
    }

    /**
     * Checks the server of a request.
     *
     * @param isReplaced whether a server is known to be replaced
     * @param result receives {@link Reachability#LISTENING} only if the same process runs; called
     *     on the event loop
     */
    void check(
            ForwardedRequest request,
            Predicate<ServerInstance> isReplaced,
            Consumer<Reachability> result) {
        ServerInstance server = request.server();
        Consumer<Reachability> logged =
                checked -> {
                    log.endChecked(request, server, checked);
                    result.accept(checked);
                };
        backends.checkRunning(
                server,
                reached -> {
                    if (isReplaced.test(server)) {
                        logged.accept(Reachability.REFUSED);
                    } else if (reached == Reachability.LISTENING && server.incarnation() != 0) {
                        confirm(server, logged);
                    } else {
                        logged.accept(reached);
                    }
                });
    }

    private void confirm(ServerInstance server, Consumer<Reachability> result) {
        incarnations
                .running(server)
                .handle((running, failure) -> compare(server, running))
                .thenAcceptAsync(result, loop);
    }

    private static Reachability compare(ServerInstance server, Long running) {
        if (running == null) {
            return Reachability.UNREACHABLE;
        }
        return running == server.incarnation() ? Reachability.LISTENING : Reachability.REFUSED;
    }
}
