package io.pollenpath.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/**
 * Encodes the requests and decodes the answers on a connection that carries one request at a time.
 * The bytes that come behind an answer, or before the first request, are kept as they are: they
 * tell whether the answer ended where it seems to end.
 */
public final class HttpAnswerCodec
        extends CombinedChannelDuplexHandler<HttpAnswerCodec.Decoder, HttpRequestEncoder> {

    /** The number of bytes behind an answer that are kept; a head fits into it. */
    private static final int MAX_BYTES_BEHIND = 65_536;

    /**
     * Creates the codec of one connection.
     *
     * @param config the limits on heads and chunks, not null
     */
    public HttpAnswerCodec(HttpDecoderConfig config) {
        super(new Decoder(config), new HttpRequestEncoder());
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (message instanceof HttpRequest request) {
            inboundHandler().begin(request.method());
        }
        super.write(context, message, promise);
    }

    /** Ends the answer: no bytes are decoded any more until the next request is written. */
    public void endAnswer() {
        inboundHandler().ended = true;
    }

    /**
     * Returns the first bytes that have come behind the answer.
     *
     * @return the bytes; none while an answer is being decoded
     */
    public byte[] bytesBehind() {
        return inboundHandler().behind.toByteArray();
    }

    /**
     * Returns how much of a chunk has come that is not whole. Until then it may be filled up with
     * bytes that belong to no answer.
     *
     * @return the number of bytes of its data; 0 within no chunk
     */
    public long incompleteChunkBytes() {
        return inboundHandler().syntax.incompleteChunkBytes();
    }

    /**
     * Decodes answers, and keeps what comes behind one. Heads and the framing of chunks are judged
     * by the bytes that were sent, before or as they are decoded; an answer with a flaw there ends
     * with a decoder failure, and nothing of a flawed head is passed on.
     */
    static final class Decoder extends HttpResponseDecoder {

        private final ByteArrayOutputStream behind = new ByteArrayOutputStream();
        private HttpMethod method = HttpMethod.GET;
        private boolean ended = true;
        private final MessageSyntax syntax = new MessageSyntax(HeadSyntax::ofAnswer);

        private Decoder(HttpDecoderConfig config) {
            super(config);
        }

        private void begin(HttpMethod newMethod) {
            method = newMethod;
            ended = false;
            syntax.expectMessage();
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
                throws Exception {
            if (ended) {
                keep(in);
            } else {
                decodeStrictly(context, in, out);
            }
        }

        private void decodeStrictly(ChannelHandlerContext context, ByteBuf in, List<Object> out)
                throws Exception {
            int start = in.readerIndex();
            Optional<String> flaw = syntax.flawOfHead(in);
            if (flaw.isPresent()) {
                refuse(out, flaw.get());
                keep(in);
                return;
            }
            super.decode(context, in, out);
            syntax.flawOfChunks(in, start).ifPresent(found -> refuse(out, found));
            refuseFlawedHead(out);
            if (!ended) {
                out.forEach(syntax::onDecoded);
            }
        }

        private void refuseFlawedHead(List<Object> out) {
            if (out.isEmpty() || !(out.get(0) instanceof HttpResponse answer)) {
                return;
            }
            if (answer.decoderResult().isSuccess()) {
                AnswerHeadRules.flawOf(answer).ifPresent(flaw -> refuse(out, flaw));
            }
        }

        /** Keeps the length that stands beside chunks, so that the head can be judged by it. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage answer) {}

        private void refuse(List<Object> out, String flaw) {
            out.forEach(ReferenceCountUtil::release);
            out.clear();
            HttpContent failure = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            failure.setDecoderResult(DecoderResult.failure(new CorruptedFrameException(flaw)));
            out.add(failure);
            ended = true;
        }

        private void keep(ByteBuf in) {
            int count = Math.min(in.readableBytes(), MAX_BYTES_BEHIND - behind.size());
            byte[] bytes = new byte[count];
            in.readBytes(bytes);
            behind.writeBytes(bytes);
            in.skipBytes(in.readableBytes());
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage answer) {
            return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(answer);
        }
    }
}
