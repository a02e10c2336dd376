package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** Removes hop-by-hop headers, which apply to a single connection only. */
final class HopByHopHeaders {

    private static final List<CharSequence> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    "Proxy-Connection",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.EXPECT);

    private HopByHopHeaders() {}

    /** Returns a copy without hop-by-hop headers and content length, which is set for each hop. */
    static HttpHeaders withoutHopByHop(HttpHeaders headers) {
        HttpHeaders copy =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        for (Map.Entry<String, String> header : headers) {
            copy.add(header.getKey(), header.getValue());
        }
        for (String listed : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
            for (String token : listed.split(",", -1)) {
                if (!token.isBlank()) {
                    copy.remove(token.trim());
                }
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }
}
