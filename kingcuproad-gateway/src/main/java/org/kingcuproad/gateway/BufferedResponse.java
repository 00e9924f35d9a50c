package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpResponse;

/**
 * A complete response of an upstream that has been buffered and not yet forwarded.
 *
 * @param head status and headers
 * @param body the body bytes; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record BufferedResponse(HttpResponse head, byte[] body) {}
