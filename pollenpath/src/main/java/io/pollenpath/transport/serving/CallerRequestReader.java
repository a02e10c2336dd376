package io.pollenpath.transport.serving;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.pollenpath.coordination.serving.MemoryBudget;
import io.pollenpath.protocol.Problem;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Collects the parts of each request of a connection, and passes on one {@link CallerRequest} for
 * each. Every request is held against the limits that are in force while it is read, since a
 * connection outlives changes of the limits. A request that can't be taken is passed on at once, so
 * that its answer comes in its turn; what follows of its body is discarded. While there is no
 * memory for a body it is not read, and after a while it is refused.
 */
final class CallerRequestReader extends ChannelInboundHandlerAdapter implements MemoryBudget.Owner {

    /** The user event that says that a caller waits for leave to send its body. */
    enum Event {
        /** The head of a request was read and its body is expected. */
        BODY_AWAITED
    }

    private final Gateway gateway;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private BodyBuffer body;
    private MemoryBudget.Share memory;
    private boolean bodyHeldBack;
    private ScheduledFuture<?> waitEnd;

    /**
     * Creates the reader of one connection.
     *
     * @param gateway knows the limits that are in force and the memory that is left, not null
     */
    CallerRequestReader(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpRequest newHead) {
                begin(newHead);
            }
            if (message instanceof HttpContent content) {
                add(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest newHead) {
        head = newHead;
        body = new BodyBuffer();
        memory = gateway.memory().open(this);
        if (newHead.decoderResult().isFailure()) {
            refuseUndecoded(newHead.decoderResult().cause());
            return;
        }
        bodyHeldBack = HttpUtil.is100ContinueExpected(newHead);
        Optional<Problem> problem = CallerRequestCheck.problemOfHead(newHead, gateway.limits());
        if (problem.isPresent()) {
            refuse(problem.get(), false);
        } else if (!gateway.memory().isPossible(CallerRequestCheck.declaredBytes(newHead))) {
            refuse(gateway.memory().problem(head), false);
        } else {
            awaitBody(CallerRequestCheck.declaredBytes(newHead));
        }
    }

    private void awaitBody(long declaredBytes) {
        if (bodyHeldBack) {
            head.headers().remove(HttpHeaderNames.EXPECT);
            context.fireUserEventTriggered(Event.BODY_AWAITED);
        }
        if (memory.reserve(declaredBytes)) {
            body.expect((int) declaredBytes);
        } else {
            pause();
        }
    }

    private void add(HttpContent content) {
        if (head == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuseUndecoded(content.decoderResult().cause());
            return;
        }
        body.append(content.content());
        boolean roomLeft = memory.cover(body.allocatedBytes());
        Optional<Problem> problem =
                CallerRequestCheck.problemOfBody(body.length(), gateway.limits());
        if (problem.isPresent()) {
            refuse(problem.get(), false);
        } else if (content instanceof LastHttpContent) {
            memory.stopWaiting();
            passOn(CallerRequest.whole(head, body.toByteArray(), memory));
        } else if (!roomLeft) {
            pause();
        }
    }

    /** Reads nothing until there is memory, or until the request is refused. */
    private void pause() {
        if (waitEnd == null) {
            context.channel().config().setAutoRead(false);
            waitEnd =
                    context.executor()
                            .schedule(
                                    this::onWaitOver,
                                    gateway.memory().maxWaitMs(head),
                                    TimeUnit.MILLISECONDS);
        }
    }

    private void onWaitOver() {
        waitEnd = null;
        if (head != null) {
            refuse(gateway.memory().problem(head), false);
        }
    }

    @Override
    public void onGranted() {
        if (head != null && CallerRequestCheck.declaredBytes(head) > 0) {
            body.expect((int) CallerRequestCheck.declaredBytes(head));
        }
        resume();
    }

    @Override
    public void onCut() {
        throw new IllegalStateException("the memory of a request is not cut");
    }

    private void resume() {
        if (waitEnd != null) {
            waitEnd.cancel(false);
            waitEnd = null;
        }
        context.channel().config().setAutoRead(true);
    }

    private void refuseUndecoded(Throwable failure) {
        refuse(CallerRequestCheck.undecoded(failure, gateway.limits()), true);
    }

    private void refuse(Problem problem, boolean endsConnection) {
        memory.close();
        // A caller that awaits leave for its body may send it all the same, or not at all.
        passOn(CallerRequest.refused(head, memory, problem, endsConnection || bodyHeldBack));
    }

    private void passOn(CallerRequest request) {
        head = null;
        body = null;
        memory = null;
        resume();
        context.fireChannelRead(request);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (memory != null) {
            memory.close();
        }
        head = null;
        resume();
        ctx.fireChannelInactive();
    }
}
