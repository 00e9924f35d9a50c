package org.kingcuproad.policy.gateway;

import java.util.Optional;
import org.kingcuproad.policy.lockstep.GroupShape;

/**
 * The configuration of a service.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all callers together
 * @param engine whether the upstreams are model engines that run forward passes in lock-step
 * @param tokensPerEvent output tokens in one event of a stream, or 0 if the service doesn't stream
 * @param shape shape of the groups that the engines form, if they hold experts
 * @param maxPauseMs longest pause between events of a stream that callers accept as on time, in milliseconds
 * @param coldPerSecond requests a second that an upstream tolerates while it is cold; 0 if it is not limited
 */
public record ServiceConfiguration(
        String name,
        int maxConnections,
        boolean engine,
        int tokensPerEvent,
        Optional<GroupShape> shape,
        long maxPauseMs,
        double coldPerSecond) {

    /** Longest accepted pause of a service whose routes don't state one. */
    public static final long DEFAULT_MAX_PAUSE_MS = 120;
}
