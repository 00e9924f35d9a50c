package org.kingcuproad.policy.admission;

import org.kingcuproad.model.ErrorKind;

/**
 * Result of polling a {@link FairAdmissionQueue}.
 *
 * @param <T> type of the entry's request objects
 */
public sealed interface PollResult<T> {

    /**
     * The request may be dispatched now. It stays in the queue until {@link FairAdmissionQueue#onDispatched}.
     *
     * @param queuedRequest the request to dispatch
     * @param <T> type of the entry's request objects
     */
    record Ready<T>(QueuedRequest<T> queuedRequest) implements PollResult<T> {}

    /**
     * The request was removed from the queue because its first token can no longer arrive in time. It was not executed.
     *
     * @param queuedRequest the request
     * @param kind error kind returned to the caller
     * @param <T> type of the entry's request objects
     */
    record Expired<T>(QueuedRequest<T> queuedRequest, ErrorKind kind) implements PollResult<T> {}

    /**
     * No request may be dispatched now.
     *
     * @param <T> type of the entry's request objects
     */
    record Empty<T>() implements PollResult<T> {}
}
