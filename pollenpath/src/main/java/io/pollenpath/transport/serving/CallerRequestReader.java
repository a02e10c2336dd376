package io.pollenpath.transport.serving;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.serving.CallerLimits;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Collects the parts of each request of a connection, and passes on one {@link CallerRequest} for
 * each. Every request is held against the limits that are in force while it is read, since a
 * connection outlives changes of the limits. A request that can't be taken is passed on at once, so
 * that its answer comes in its turn; what follows of its body is discarded.
 */
final class CallerRequestReader extends ChannelInboundHandlerAdapter {

    /** The user event that says that a caller waits for leave to send its body. */
    enum Event {
        /** The head of a request was read and its body is expected. */
        BODY_AWAITED
    }

    private final Supplier<CallerLimits> limits;
    private HttpRequest head;
    private BodyBuffer body;

    /**
     * Creates the reader of one connection.
     *
     * @param limits returns the limits that are in force, not null
     */
    CallerRequestReader(Supplier<CallerLimits> limits) {
        this.limits = limits;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest newHead) {
                begin(context, newHead);
            }
            if (message instanceof HttpContent content) {
                add(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest newHead) {
        head = newHead;
        body = new BodyBuffer();
        if (newHead.decoderResult().isFailure()) {
            refuseUndecoded(context, newHead.decoderResult().cause());
            return;
        }
        Optional<Problem> problem = CallerRequestCheck.problemOfHead(newHead, limits.get());
        boolean awaited = HttpUtil.is100ContinueExpected(newHead);
        if (problem.isPresent()) {
            // A caller that awaits leave for its body may send it all the same, or not at all.
            refuse(context, problem.get(), awaited);
        } else if (awaited) {
            newHead.headers().remove(HttpHeaderNames.EXPECT);
            context.fireUserEventTriggered(Event.BODY_AWAITED);
        }
    }

    private void add(ChannelHandlerContext context, HttpContent content) {
        if (head == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuseUndecoded(context, content.decoderResult().cause());
            return;
        }
        body.append(content.content());
        Optional<Problem> problem = CallerRequestCheck.problemOfBody(body.length(), limits.get());
        if (problem.isPresent()) {
            refuse(context, problem.get(), false);
        } else if (content instanceof LastHttpContent) {
            passOn(context, CallerRequest.whole(head, body.toByteArray()));
        }
    }

    private void refuseUndecoded(ChannelHandlerContext context, Throwable failure) {
        refuse(context, CallerRequestCheck.undecoded(failure, limits.get()), true);
    }

    private void refuse(ChannelHandlerContext context, Problem problem, boolean endsConnection) {
        passOn(context, CallerRequest.refused(head, problem, endsConnection));
    }

    private void passOn(ChannelHandlerContext context, CallerRequest request) {
        head = null;
        body = null;
        context.fireChannelRead(request);
    }
}
