package org.kingcuproad.policy.admission;

import org.kingcuproad.model.ErrorKind;

/**
 * What the queue has for the entry now.
 *
 * @param <T> the entry's type of request
 */
public sealed interface QueueHead<T> {

    /**
     * It is this request's turn. It stays in the queue until {@link FairAdmission#dispatched}.
     *
     * @param ticket the waiting request
     * @param <T> the entry's type of request
     */
    record Ready<T>(Ticket<T> ticket) implements QueueHead<T> {}

    /**
     * This request left the queue, because its first token can no longer arrive in time. It did not run.
     *
     * @param ticket the request
     * @param kind the kind of error that the caller gets
     * @param <T> the entry's type of request
     */
    record Late<T>(Ticket<T> ticket, ErrorKind kind) implements QueueHead<T> {}

    /**
     * No request may be dispatched now.
     *
     * @param <T> the entry's type of request
     */
    record Empty<T>() implements QueueHead<T> {}
}
