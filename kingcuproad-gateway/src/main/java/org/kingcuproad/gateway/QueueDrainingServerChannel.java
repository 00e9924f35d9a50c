package org.kingcuproad.gateway;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Listening socket that can be closed after all connections in its accept queue have been accepted. */
final class QueueDrainingServerChannel extends NioServerSocketChannel {

    /**
     * Accepts connections until none waits in the accept queue, and then closes the socket. Connections that arrive
     * while others are handled are accepted too, since closing the socket would reset them. Must be called on the event
     * loop.
     */
    void acceptQueuedAndClose() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                accepted.forEach(pipeline()::fireChannelRead);
                accepted.clear();
            }
        } catch (Exception failure) {
            pipeline().fireExceptionCaught(failure);
        }
        close();
    }
}
