package org.kingcuproad.entry.request;

import org.kingcuproad.model.ErrorKind;

/** Result of choosing an upstream for an attempt. */
public sealed interface Selection {

    /**
     * The attempt may be sent to this upstream.
     *
     * @param upstream name of the upstream
     * @param reason why it was chosen
     */
    record Selected(String upstream, String reason) implements Selection {}

    /**
     * Every upstream that could accept the request has reached its concurrency limit; the request can wait for a slot.
     */
    record Saturated() implements Selection {}

    /**
     * No upstream can accept the request.
     *
     * @param kind error kind that the caller receives
     * @param reason why the upstreams cannot accept it
     */
    record None(ErrorKind kind, String reason) implements Selection {

        /**
         * Creates the result for a request that did not run and may be sent again, which is the usual case.
         *
         * @param reason why the upstreams cannot accept it
         * @return the selection
         */
        public static None unavailable(String reason) {
            return new None(ErrorKind.NO_UPSTREAM, reason);
        }
    }
}
