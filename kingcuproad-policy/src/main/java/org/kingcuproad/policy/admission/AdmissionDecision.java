package org.kingcuproad.policy.admission;

import org.kingcuproad.model.ErrorKind;

/**
 * Whether a request may wait for an upstream.
 *
 * @param <T> the entry's type of request
 */
public sealed interface AdmissionDecision<T> {

    /**
     * The request waits; {@link FairAdmission#poll} returns it when it is its turn, which may be at once.
     *
     * @param ticket identifies the waiting request, for a cancellation
     * @param expectedWaitMs estimated time until it is its turn, in milliseconds
     * @param <T> the entry's type of request
     */
    record Queued<T>(Ticket<T> ticket, double expectedWaitMs) implements AdmissionDecision<T> {}

    /**
     * The request is refused and did not run.
     *
     * @param kind the kind of error that the caller gets
     * @param detail why, for the caller
     * @param <T> the entry's type of request
     */
    record Refused<T>(ErrorKind kind, String detail) implements AdmissionDecision<T> {}
}
