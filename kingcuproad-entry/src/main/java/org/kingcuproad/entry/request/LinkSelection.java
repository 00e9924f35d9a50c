package org.kingcuproad.entry.request;

import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.model.ErrorKind;

/** A selection with the connection to the agent of the selected upstream. */
sealed interface LinkSelection {

    /**
     * The attempt may go to this agent.
     *
     * @param link the connection
     */
    record Selected(AgentLink link) implements LinkSelection {}

    /** Every upstream that could take the request runs as many as it may. */
    record Saturated() implements LinkSelection {}

    /**
     * No upstream can take the request.
     *
     * @param kind what the caller is told
     * @param reason what keeps the upstreams from taking it
     */
    record None(ErrorKind kind, String reason) implements LinkSelection {}
}
