package org.kingcuproad.model;

import java.util.List;

/**
 * A path of a plain service and how its requests may be repeated.
 *
 * @param pathPrefix prefix of the request paths that the route covers
 * @param methods HTTP methods in upper case
 * @param idempotent whether a request may run more than once
 * @param deadlineMs time allowed for a whole answer, in milliseconds
 */
public record Route(String pathPrefix, List<String> methods, boolean idempotent, int deadlineMs) {

    /** Copies the lists, so that the value is immutable. */
    public Route {
        methods = List.copyOf(methods);
    }
}
