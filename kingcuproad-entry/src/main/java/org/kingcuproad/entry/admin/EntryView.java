package org.kingcuproad.entry.admin;

import java.util.Collection;
import java.util.Optional;
import org.kingcuproad.config.settings.EntrySettings;
import org.kingcuproad.entry.document.DocumentInForce;
import org.kingcuproad.entry.link.UpstreamStatus;
import org.kingcuproad.entry.request.Selection;
import org.kingcuproad.entry.request.Target;

/** What administration may see of an entry. Called on the event loop of the entry. */
public interface EntryView {

    /**
     * Returns the settings of the process.
     *
     * @return the settings
     */
    EntrySettings settings();

    /**
     * Returns the document in force.
     *
     * @return the document, or empty before the first one
     */
    Optional<DocumentInForce> document();

    /**
     * Returns what is known of the agents.
     *
     * @return the statuses in the order of their names
     */
    Collection<UpstreamStatus> upstreams();

    /**
     * Counts the requests in progress.
     *
     * @return requests of callers, waiting or running
     */
    int requestsInProgress();

    /**
     * Tells whether the entry is shutting down.
     *
     * @return {@code true} once a graceful shutdown began
     */
    boolean draining();

    /**
     * Chooses an upstream as for a request, without effect.
     *
     * @param target what the request would ask for
     * @param workspace workspace of the caller
     * @param key idempotency key, or an empty string
     * @return the choice and its reason
     */
    Selection explain(Target target, String workspace, String key);
}
