package org.kingcuproad.policy.gateway;

/**
 * Progress of a request at an upstream.
 *
 * @param responseStarted whether a part of the response has arrived that counts as its start
 * @param sentMs time at which the request was sent, in milliseconds
 * @param lastEventMs time of the last event that advanced the stream, or at which reading was resumed, in milliseconds
 * @param longestIntervalMs longest interval between two such events so far, 0 before the second event, in milliseconds
 * @param readingPaused whether nothing is read from the upstream because the client reads too slowly
 */
public record AttemptProgress(
        boolean responseStarted, long sentMs, long lastEventMs, long longestIntervalMs, boolean readingPaused) {}
