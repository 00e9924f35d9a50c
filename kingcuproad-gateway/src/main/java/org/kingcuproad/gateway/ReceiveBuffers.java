package org.kingcuproad.gateway;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Receive buffers of connections. Their size and number limit how long the event loop is occupied by one connection
 * before it serves the others, also if the bytes are split into the smallest possible parts.
 */
final class ReceiveBuffers {

    private static final int MIN_BYTES = 64;
    private static final int INITIAL_BYTES = 2 << 10;
    private static final int MAX_BYTES = 16 << 10;

    /** Number of reads from a connection before the event loop serves the next one. */
    private static final int MAX_READS = 4;

    private ReceiveBuffers() {}

    /** Creates the allocator of a connection's receive buffers, which adapts their size to what arrives. */
    static RecvByteBufAllocator create() {
        return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES).maxMessagesPerRead(MAX_READS);
    }
}
