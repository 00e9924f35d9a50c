package org.kingcuproad.entry.admin;

import java.util.Collection;
import java.util.Optional;
import org.kingcuproad.config.settings.EntrySettings;
import org.kingcuproad.entry.document.DocumentInForce;
import org.kingcuproad.entry.link.UpstreamStatus;
import org.kingcuproad.entry.request.Selection;
import org.kingcuproad.entry.request.Target;

/** Read-only view of an entry for the administration API. Called on the event loop of the entry. */
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
     * Returns the last known status of each agent.
     *
     * @return the statuses, ordered by upstream name
     */
    Collection<UpstreamStatus> upstreams();

    /**
     * Returns the number of requests in progress.
     *
     * @return number of callers' requests that are queued or running
     */
    int requestsInProgress();

    /**
     * Returns whether the entry is shutting down.
     *
     * @return {@code true} once a graceful shutdown has started
     */
    boolean draining();

    /**
     * Chooses an upstream as for a request, without sending one or counting it as load.
     *
     * @param target model or service of the hypothetical request
     * @param workspace workspace of the caller
     * @param idempotencyKey idempotency key, or an empty string
     * @return the selection and its reason
     */
    Selection explain(Target target, String workspace, String idempotencyKey);
}
