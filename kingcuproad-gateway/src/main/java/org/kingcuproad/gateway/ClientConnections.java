package org.kingcuproad.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The open client connections of a gateway. All methods are called on its event loop. */
final class ClientConnections {

    private final Set<ClientConnection> open = new HashSet<>();
    private long accepted;
    private long lastChangeMs;

    void add(ClientConnection connection, long nowMs) {
        open.add(connection);
        accepted++;
        lastChangeMs = nowMs;
    }

    void remove(ClientConnection connection, long nowMs) {
        open.remove(connection);
        lastChangeMs = nowMs;
    }

    /** Returns the open connections; a copy, since handling one may close it. */
    List<ClientConnection> list() {
        return List.copyOf(open);
    }

    int size() {
        return open.size();
    }

    /** Returns the number of connections accepted since the start. */
    long accepted() {
        return accepted;
    }

    /** Returns the time at which a connection was last opened or closed, in milliseconds. */
    long lastChangeMs() {
        return lastChangeMs;
    }
}
