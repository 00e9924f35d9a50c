package org.kingcuproad.gateway;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/**
 * Ports chosen by the system. It may choose a port again that is closed, but not yet in use, so each is returned once.
 */
final class DistinctPorts {

    /** Chooses a port that is free at present. */
    interface Source {
        int nextPort() throws IOException;
    }

    private final Source source;
    private final Set<Integer> returned = new HashSet<>();

    DistinctPorts(Source source) {
        this.source = source;
    }

    int next() throws IOException {
        int port = source.nextPort();
        while (!returned.add(port)) {
            port = source.nextPort();
        }
        return port;
    }
}
