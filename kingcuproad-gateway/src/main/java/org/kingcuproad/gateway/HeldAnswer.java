package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpResponse;

/**
 * A whole answer of an upstream that has not been passed on.
 *
 * @param head status and headers
 * @param body the bytes; must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
record HeldAnswer(HttpResponse head, byte[] body) {}
