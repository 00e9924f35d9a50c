package org.kingcuproad.policy.scarcity;

import org.kingcuproad.policy.gateway.SchedulingAttributes;

/**
 * A queued request, as the decisions of this package see it.
 *
 * @param scheduling deadlines and priority; a negative priority is that of a stream to be resumed
 * @param traits what the request belongs to
 * @param refusable whether the request may still be refused: it has not been sent to any upstream
 */
public record ScarceRequest(SchedulingAttributes scheduling, RequestTraits traits, boolean refusable) {

    boolean resumed() {
        return scheduling.priority() < 0;
    }
}
