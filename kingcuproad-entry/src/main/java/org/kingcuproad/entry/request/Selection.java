package org.kingcuproad.entry.request;

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
     * @param reason what keeps the upstreams from taking it
     */
    record None(String reason) implements Selection {}
}
