package org.kingcuproad.entry.request;

import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.model.ErrorKind;

/** Result of choosing an upstream for an attempt, with the connection to its agent. */
sealed interface LinkSelection {

    /**
     * The attempt may be sent to this agent.
     *
     * @param link the connection
     */
    record Selected(AgentLink link) implements LinkSelection {}

    /** Every upstream that could accept the request has reached its concurrency limit. */
    record Saturated() implements LinkSelection {}

    /**
     * No upstream can accept the request.
     *
     * @param kind error kind that the caller receives
     * @param reason why the upstreams cannot accept it
     */
    record None(ErrorKind kind, String reason) implements LinkSelection {}
}
