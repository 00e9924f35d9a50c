package org.kingcuproad.policy.gateway;

/**
 * What a gateway knows of an upstream that decides whether it gets new requests.
 *
 * @param removed whether it is no longer registered
 * @param replaced whether another upstream runs at its address
 * @param draining whether the register says that it is draining
 * @param leaving whether one of its responses said that it is leaving
 * @param evacuated whether operators have evacuated its data centre
 * @param backOffUntilMs time until which it asked for no requests, in milliseconds
 * @param coldUntilMs time before which it gets no request because it is cold, in milliseconds; may have passed
 * @param lastSendMs time at which it was last sent a request, in milliseconds
 * @param healthy whether its health admits a request
 * @param withinRequestLimit whether it accepts more requests a second than it has received
 */
public record UpstreamState(
        boolean removed,
        boolean replaced,
        boolean draining,
        boolean leaving,
        boolean evacuated,
        long backOffUntilMs,
        long coldUntilMs,
        long lastSendMs,
        boolean healthy,
        boolean withinRequestLimit) {}
