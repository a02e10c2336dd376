package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.serving.CrashSuspect;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.util.GuardedSteps;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A request on its way from arrival to final answer, over as many sends as its route allows. Plain
 * answers are buffered until they are complete. Events of a stream are forwarded one by one, and an
 * interrupted stream is resumed on another server after the last event that was forwarded.
 */
final class ForwardedRequest {

    private static final byte[] NOTHING = {};
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;

    private final Gateway gateway;
    private final RequestContext context;
    private final RequestSuspects suspects;
    private final Set<String> triedServerIds = new HashSet<>();

    private int selections;
    private int sends;
    private boolean mayHaveRun;
    private boolean done;
    private ServerInstance server;
    private BackendConnection connection;
    private long sentNanos;
    private final SendProgress progress = new SendProgress();
    private final AnswerReading reading;
    private final CallerReply reply;
    private final EventForwarder events;
    private ServerAnswer answer;

    ForwardedRequest(Gateway gateway, CallerAnswer caller, RequestContext context) {
        this.gateway = gateway;
        this.context = context;
        suspects = new RequestSuspects(context);
        answer = new ServerAnswer(id -> false);
        reading =
                new AnswerReading(
                        gateway.memory(), progress, () -> guard(() -> breakOff("memory is short")));
        reply = new CallerReply(caller, context.callerHeaders().lastEventId());
        events = new EventForwarder(gateway, this, progress, reading, reply);
    }

    RequestContext context() {
        return context;
    }

    Route route() {
        return context.route();
    }

    /** Returns what may crash the servers that work on this request. */
    RequestSuspects suspects() {
        return suspects;
    }

    /** Returns what may have crashed the latest server of this request. */
    List<CrashSuspect> suspectsOfCrash() {
        return suspects.ofCrash(answer.wentOn());
    }

    /** Returns whether the server has answered as the route promises, with events if it streams. */
    boolean isAnsweredBySuccess() {
        return reply.status() == STATUS_OK && (!context.route().streaming() || answer.events() > 0);
    }

    Set<String> triedServerIds() {
        return triedServerIds;
    }

    int sends() {
        return sends;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Records that a server may have executed the request. */
    void markMayHaveRun() {
        mayHaveRun = true;
    }

    boolean isDone() {
        return done;
    }

    CallerReply reply() {
        return reply;
    }

    ServerAnswer answer() {
        return answer;
    }

    ServerInstance server() {
        return server;
    }

    long timeLeftMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(context.deadlineNanos() - nowNanos);
    }

    /** Returns when the request was sent and its events came. */
    SendProgress progress() {
        return progress;
    }

    /** Returns whether the request was written to a server, which has not answered it yet. */
    boolean isSentTo(ServerInstance target) {
        boolean waitsForAnswer = connection != null || answer.isCheckingEnd();
        return waitsForAnswer
                && server != null
                && server.incarnationId().equals(target.incarnationId());
    }

    /** Returns the time at which the request was last written to a server; 0 before that. */
    long sentNanos() {
        return sentNanos;
    }

    /** Returns the time since the server last made progress; 0 if no server is selected. */
    long silenceMs(long nowNanos) {
        return server == null ? 0 : progress.silenceMs(nowNanos);
    }

    /** Sends the request to a server, over a pooled or new connection. */
    void send(ServerInstance target, BackendConnectionPool connections, long nowNanos) {
        server = target;
        selections++;
        int selection = selections;
        progress.onSend(nowNanos);
        answer = new ServerAnswer(id -> false);
        connections.acquire(
                target,
                context.route().mayRunAgain(),
                nowNanos,
                opened -> guard(() -> sendOver(selection, target, opened)),
                cause -> guard(() -> onNotConnected(selection, cause)));
    }

    private void onNotConnected(int selection, String cause) {
        if (isCurrentSelection(selection)) {
            endSend(SendOutcome.NOT_SENT, cause);
        }
    }

    private boolean isCurrentSelection(int selection) {
        return selection == selections && server != null && !done;
    }

    private void sendOver(int selection, ServerInstance target, BackendConnection opened) {
        if (!isCurrentSelection(selection)) {
            opened.close();
            return;
        }
        gateway.authorizeSend(
                this,
                authorized -> guard(() -> onAuthorized(selection, target, opened, authorized)));
    }

    private void onAuthorized(
            int selection, ServerInstance target, BackendConnection opened, boolean authorized) {
        if (!isCurrentSelection(selection)) {
            opened.close();
        } else if (authorized) {
            write(target, opened);
        } else {
            opened.becomeIdle();
            server = null;
            gateway.onWithheld(this, target);
        }
    }

    private void write(ServerInstance target, BackendConnection opened) {
        long nowNanos = System.nanoTime();
        connection = opened;
        answer = new ServerAnswer(opened::hasCarried);
        reading.begin(opened);
        sends++;
        triedServerIds.add(target.id());
        sentNanos = nowNanos;
        progress.onSend(nowNanos);
        long timeLeftMs = Math.max(1, timeLeftMs(nowNanos));
        opened.send(
                context.toHttpRequest(gateway.dialect(), target, timeLeftMs, reply.lastEventId()),
                context.callerHeaders().requestId(),
                new AnswerListener(this));
    }

    /** Reads the status and headers of an answer. */
    void readHead(int newStatus, HttpHeaders headers) {
        progress.onProgress(System.nanoTime());
        WireDialect.ReplyKind replyKind = gateway.dialect().classify(newStatus, headers);
        answer.onHead(replyKind, headers, context.route().streaming() && newStatus == STATUS_OK);
        if (replyKind == WireDialect.ReplyKind.ANSWER) {
            mayHaveRun = true;
        }
        if (replyKind != WireDialect.ReplyKind.OTHER_SERVER) {
            gateway.onAnswerHead(this, newStatus, headers);
        }
        reply.onHead(newStatus, headers);
        long declaredBytes = context.mayBeAnsweredWithBody() ? answer.declaredBytes(headers) : 0;
        answer.checkLength(declaredBytes);
        if (answer.flaw().isPresent()) {
            breakOff(answer.flaw().get());
        } else if (reading.onLength(declaredBytes)) {
            answer.expectBody(declaredBytes);
        }
    }

    /** Reads a part of the body of an answer. */
    void readData(byte[] bytes) {
        long nowNanos = System.nanoTime();
        if (answer.isForwardedStream()) {
            events.forward(answer, answer.addEvents(bytes, gateway.dialect(), nowNanos));
            reading.onEvents(answer.bufferedBytes());
        } else {
            progress.onProgress(nowNanos);
            reading.addBody(answer, bytes, nowNanos);
        }
        answer.flaw().filter(flaw -> !done).ifPresent(this::breakOff);
    }

    /** Fails the send to a server whose answer cannot be forwarded any further. */
    private void breakOff(String cause) {
        cancelSend();
        endSend(answer.outcomeOfFlaw(), cause);
    }

    /** Returns what decides whether the answer is read on. */
    AnswerReading reading() {
        return reading;
    }

    /** Reads the end of a complete answer. */
    void readEnd(byte[] behind) {
        gateway.log().ended(this, server, behind);
        endAnswer(behind);
    }

    private void endAnswer(byte[] behind) {
        endReading();
        answer.failureAtEnd(behind, reply.status())
                .ifPresentOrElse(f -> failSend(f.outcome(), f.cause()), this::onCompleteAnswer);
    }

    /** Reads the end of an answer that only the end of its connection marks. */
    void readEndByClose() {
        if (answer.kindAtEnd(NOTHING) != WireDialect.ReplyKind.ANSWER) {
            readEnd(NOTHING);
            return;
        }
        endReading();
        answer.setCheckingEnd(true);
        int selection = selections;
        gateway.checkServer(this, result -> guard(() -> onServerChecked(selection, result)));
    }

    private void onServerChecked(int selection, Reachability result) {
        if (!isCurrentSelection(selection)) {
            return;
        }
        answer.setCheckingEnd(false);
        if (result == Reachability.LISTENING) {
            endAnswer(NOTHING);
        } else {
            failSend(SendOutcome.UNKNOWN, "server ended with its answer");
        }
    }

    private void onCompleteAnswer() {
        if (answer.isForwardedStream()) {
            events.forward(answer, answer.takeHeldEvents());
            finish("answered");
            reply.finishStream();
            return;
        }
        if (reply.isBegun()) {
            failSend(
                    SendOutcome.RUN_AND_FAILED,
                    "resumed stream was answered with status " + reply.status());
        } else if (reply.status() >= STATUS_SERVER_ERROR) {
            failSend(SendOutcome.RUN_AND_FAILED, "server failed with status " + reply.status());
        } else {
            finish("answered");
            reply.writeFull(answer.body());
        }
    }

    /** Ends a send that has failed. */
    void endSend(SendOutcome outcome, String cause) {
        endReading();
        failSend(outcome, cause);
    }

    private void failSend(SendOutcome outcome, String cause) {
        ServerInstance failed = server;
        server = null;
        if (!outcome.notRun()) {
            mayHaveRun = true;
        }
        if (outcome.hasAnswer()) {
            answer.keep();
        } else {
            answer.discardBody();
            reading.end();
        }
        gateway.onSendFailed(this, failed, outcome, cause);
    }

    /** Fails the send to a server that has sent nothing for too long. */
    void abandonSilentServer() {
        cancelSend();
        failSend(sends == 0 ? SendOutcome.NOT_SENT : SendOutcome.UNKNOWN, "server stalled");
    }

    /** Forwards the answer of the last server, since no other one can give a better one. */
    void forwardLastAnswer() {
        finish(reply.status() >= STATUS_SERVER_ERROR ? "server_failed" : "answered");
        reply.writeFull(answer.body());
    }

    /** Answers with an error of this entry, or aborts an answer that has started. */
    void fail(int problemStatus, HttpHeaders headers, byte[] problem, String reason) {
        cancelSend();
        reply.onProblem(problemStatus);
        finish(reason);
        reply.writeProblem(headers, problem);
    }

    void onCallerDisconnected() {
        guard(this::abandonByCaller);
    }

    private void abandonByCaller() {
        if (!done) {
            cancelSend();
            finish("caller_gone");
        }
    }

    /** Takes a step of this request, which ends the request and nothing else if it fails. */
    void guard(Runnable step) {
        GuardedSteps.run(step, this::onStepFailed);
    }

    /** Ends a request of which a step has failed, whatever the step has left undone. */
    void onStepFailed(Throwable cause) {
        boolean wasDone = done;
        done = true;
        Problem problem = GatewayProblems.internalError(sends > 0 || mayHaveRun);
        reply.onProblem(problem.status());
        gateway.onFailure(cause, this);
        GuardedSteps.runAll(
                gateway::onFailure,
                this::cancelSend,
                reading::end,
                () -> gateway.abandon(this, wasDone));
        server = null;
        GuardedSteps.run(
                () -> reply.endWith(problem, context.callerHeaders().requestId()),
                failure -> {
                    reply.abort();
                    gateway.onFailure(failure);
                });
    }

    private void cancelSend() {
        BackendConnection cancelled = connection;
        if (cancelled != null) {
            endReading();
            cancelled.cancel();
        }
    }

    private void endReading() {
        connection = null;
        reading.detach();
    }

    private void finish(String reason) {
        done = true;
        reading.end();
        gateway.onDone(this, reply.status(), reason);
        server = null;
    }
}
