package org.kingcuproad.model;

import java.util.List;

/**
 * A plain HTTP service behind one or more upstreams.
 *
 * @param name unique name of the service
 * @param routes routes of the service, most specific first
 */
public record Service(String name, List<Route> routes) {

    /** Copies the lists, so that the value is immutable. */
    public Service {
        routes = List.copyOf(routes);
    }
}
