package org.kingcuproad.gateway;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/** Ids of the last requests that were answered on a connection. A second response to one of them may still come. */
final class CarriedRequests {

    /** Upstreams send a second response soon; one to a request further back is no reason to trust the connection. */
    private static final int MAX_REMEMBERED = 16;

    private final Set<String> ids = new LinkedHashSet<>();

    /** Records that a request has been answered. */
    void add(String requestId) {
        if (ids.size() >= MAX_REMEMBERED) {
            ids.remove(ids.iterator().next());
        }
        ids.add(requestId);
    }

    Set<String> ids() {
        return Collections.unmodifiableSet(ids);
    }
}
