package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;

/**
 * Decodes the requests and encodes the answers on a connection of a caller. Heads, the framing of
 * chunks and trailers are judged by the bytes that were sent, before or as they are decoded. Bytes
 * that are no sound request become one whose decoder result tells why, by a {@link
 * FlawedRequestException}; nothing behind them is read as a request.
 */
public final class HttpRequestCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

    private static final int BAD_REQUEST = 400;

    /** The methods of the requests that are not answered yet, in their order. */
    private final Queue<HttpMethod> unanswered = new ArrayDeque<>();

    /**
     * Creates the codec of one connection.
     *
     * @param config the limits on heads and chunks, not null
     */
    public HttpRequestCodec(HttpDecoderConfig config) {
        init(new Decoder(config), new Encoder());
    }

    private final class Decoder extends HttpRequestDecoder {

        private final MessageSyntax syntax = new MessageSyntax(HeadSyntax::ofRequest);
        private boolean inBody;
        private boolean refused;

        private Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
                throws Exception {
            if (refused) {
                in.skipBytes(in.readableBytes());
            } else {
                decodeStrictly(context, in, out);
            }
        }

        private void decodeStrictly(ChannelHandlerContext context, ByteBuf in, List<Object> out)
                throws Exception {
            int start = in.readerIndex();
            Optional<String> flaw = syntax.flawOfHead(in);
            if (flaw.isPresent()) {
                refuse(out, new FlawedRequestException(BAD_REQUEST, flaw.get()));
                in.skipBytes(in.readableBytes());
                return;
            }
            super.decode(context, in, out);
            syntax.flawOfChunks(in, start)
                    .ifPresent(text -> refuse(out, new FlawedRequestException(BAD_REQUEST, text)));
            refuseFlawedHead(out);
            out.forEach(this::onDecoded);
        }

        private void refuseFlawedHead(List<Object> out) {
            if (out.isEmpty() || !(out.get(0) instanceof HttpRequest request)) {
                return;
            }
            if (request.decoderResult().isSuccess()) {
                RequestHeadRules.flawOf(request).ifPresent(flaw -> refuse(out, flaw));
            }
        }

        private void onDecoded(Object decoded) {
            syntax.onDecoded(decoded);
            if (decoded instanceof HttpRequest request) {
                unanswered.add(request.method());
                inBody = true;
            }
            if (decoded instanceof LastHttpContent) {
                inBody = false;
            }
        }

        /** Puts a failure in the place of what was decoded, as the next part of a request. */
        private void refuse(List<Object> out, FlawedRequestException flaw) {
            out.forEach(ReferenceCountUtil::release);
            out.clear();
            HttpObject failure =
                    inBody
                            ? new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)
                            : new DefaultFullHttpRequest(
                                    HttpVersion.HTTP_1_1,
                                    HttpMethod.GET,
                                    "/",
                                    Unpooled.EMPTY_BUFFER);
            failure.setDecoderResult(DecoderResult.failure(flaw));
            out.add(failure);
            refused = true;
        }

        /** Keeps the length that stands beside chunks, so that the head can be judged by it. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage request) {}
    }

    private final class Encoder extends HttpResponseEncoder {

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse answer) {
            HttpMethod method = unanswered.poll();
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(answer);
        }
    }
}
