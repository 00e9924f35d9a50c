package org.kingcuproad.policy.admission;

import org.kingcuproad.model.ErrorKind;

/**
 * Result of offering a request to {@link FairAdmissionQueue}.
 *
 * @param <T> type of the entry's request objects
 */
public sealed interface AdmissionDecision<T> {

    /**
     * The request was queued. {@link FairAdmissionQueue#poll} returns it when it may be dispatched, possibly
     * immediately.
     *
     * @param queuedRequest handle of the queued request, used to cancel it
     * @param expectedWaitMs estimated queueing time, in milliseconds
     * @param <T> type of the entry's request objects
     */
    record Queued<T>(QueuedRequest<T> queuedRequest, double expectedWaitMs) implements AdmissionDecision<T> {}

    /**
     * The request was refused without being executed.
     *
     * @param kind error kind returned to the caller
     * @param detail explanation returned to the caller
     * @param <T> type of the entry's request objects
     */
    record Refused<T>(ErrorKind kind, String detail) implements AdmissionDecision<T> {}
}
