package org.kingcuproad.platform;

/** Receives the messages of one watch, one at a time, on the event loop of the client. It must not block. */
public interface WatchListener {

    /**
     * Receives a message.
     *
     * @param event the message
     */
    void onEvent(WatchEvent event);

    /**
     * Receives the end of the watch. Nothing follows. It is not called after {@link Watch#cancel()}.
     *
     * @param end why the watch ended
     */
    void onEnded(WatchEnd end);
}
