package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/**
 * A complete HTTP request that a server has received.
 *
 * @param method the method in upper case, not null
 * @param path the path without its query, not null
 * @param query the text after the question mark, empty if there is none
 * @param headers the headers, not null
 * @param body the whole body, not null
 */
public record HttpCall(String method, String path, String query, HttpHeaders headers, byte[] body) {

    /**
     * Returns the value of a header.
     *
     * @param name the name, not case-sensitive
     * @return the first value; empty if there is none
     */
    public String header(String name) {
        return headers.get(name, "");
    }

    /**
     * Returns the decoded value of a query parameter.
     *
     * @param name the name, case-sensitive
     * @return the first value; empty if there is none
     */
    public String parameter(String name) {
        List<String> values = new QueryStringDecoder("?" + query).parameters().get(name);
        return values == null ? "" : values.get(0);
    }
}
