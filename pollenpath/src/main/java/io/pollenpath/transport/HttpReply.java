package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP answer that a client has received.
 *
 * @param status the HTTP status
 * @param headers the headers, not null
 * @param body the body, not null
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {}
