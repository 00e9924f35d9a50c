package org.kingcuproad.gateway;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Listening socket whose accept queue can be emptied before it is closed. */
final class QueueDrainingServerChannel extends NioServerSocketChannel {

    /** Accepts all connections that wait in the accept queue. Must be called on the event loop. */
    void acceptQueued() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                // Accepts one connection a call.
            }
        } catch (Exception failure) {
            pipeline().fireExceptionCaught(failure);
        }
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
    }
}
