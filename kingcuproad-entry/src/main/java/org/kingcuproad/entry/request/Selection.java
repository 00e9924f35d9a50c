package org.kingcuproad.entry.request;

import org.kingcuproad.model.ErrorKind;

/** Where an attempt may go now. */
public sealed interface Selection {

    /**
     * The attempt may go to this upstream.
     *
     * @param upstream name of the upstream
     * @param reason why it was chosen
     */
    record Selected(String upstream, String reason) implements Selection {}

    /** Every upstream that could take the request runs as many as it may; one will have room later. */
    record Saturated() implements Selection {}

    /**
     * No upstream can take the request.
     *
     * @param kind what the caller is told
     * @param reason what keeps the upstreams from taking it
     */
    record None(ErrorKind kind, String reason) implements Selection {

        /**
         * Creates the usual case, in which the request did not run and may be sent again.
         *
         * @param reason what keeps the upstreams from taking it
         * @return the selection
         */
        public static None unavailable(String reason) {
            return new None(ErrorKind.NO_UPSTREAM, reason);
        }
    }
}
