package org.kingcuproad.policy.gateway;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Statistics on the response times and the progress of the upstreams of one service, as observed by one gateway. */
public final class ServiceStatistics {

    /** Weight of a new sample of the time to the first response; ten samples move the mean by two thirds. */
    private static final double RESPONSE_WEIGHT = 0.1;

    /** Weight of a new sample of the interval between slot releases. */
    private static final double RELEASE_INTERVAL_WEIGHT = 0.1;

    /**
     * Upper bound on a sample of the interval between slot releases, so that idle time does not look like a slow
     * service.
     */
    private static final double MAX_RELEASE_INTERVAL_MS = 1_000;

    /**
     * Weight of a new sample of the interval between events. It is small because several streams may contribute a
     * sample with every forward pass.
     */
    private static final double EVENT_INTERVAL_WEIGHT = 0.05;

    /**
     * A sample of the interval between events is capped at this multiple of the mean, so that a single stall of all
     * streams is not taken for a low event rate.
     */
    private static final double MAX_EVENT_INTERVAL_FACTOR = 3;

    /**
     * Mean interval assumed before the first samples: the longest interval between events that callers accept as on
     * time.
     */
    private static final double INITIAL_EVENT_INTERVAL_MS = 120;

    private final Map<RouteKind, RecentDurations> durations = new EnumMap<>(RouteKind.class);
    private double timeToFirstResponseMs;
    private double meanEventIntervalMs = INITIAL_EVENT_INTERVAL_MS;
    private double meanReleaseIntervalMs;
    private long lastReleaseMs = Long.MIN_VALUE;
    private long lastResponseMs = Long.MIN_VALUE;
    private long lastEventMs = Long.MIN_VALUE;

    /**
     * Returns statistics of the whole service that describe what some of its groups of engines can do. The shortest
     * times of a group count, because a request is sent to one that can serve it, and the slots of all groups become
     * free side by side.
     *
     * @param groups statistics of the groups, at least one
     * @return a copy, which is not updated any more
     */
    ServiceStatistics restrictedTo(List<ServiceStatistics> groups) {
        ServiceStatistics restricted = new ServiceStatistics();
        restricted.durations.putAll(durations);
        restricted.lastReleaseMs = lastReleaseMs;
        restricted.lastResponseMs = lastResponseMs;
        restricted.lastEventMs = lastEventMs;
        restricted.timeToFirstResponseMs = groups.stream()
                .mapToDouble(group -> group.timeToFirstResponseMs)
                .filter(responseMs -> responseMs > 0)
                .min()
                .orElse(timeToFirstResponseMs);
        restricted.meanEventIntervalMs = groups.stream()
                .mapToDouble(group -> group.meanEventIntervalMs)
                .min()
                .orElse(meanEventIntervalMs);
        // A group without releases since it opened is assumed to release slots as often as the others do.
        double meanReleasesPerMs = groups.stream()
                .filter(group -> group.meanReleaseIntervalMs > 0)
                .mapToDouble(group -> 1 / group.meanReleaseIntervalMs)
                .average()
                .orElse(0);
        restricted.meanReleaseIntervalMs =
                meanReleasesPerMs > 0 ? 1 / (meanReleasesPerMs * groups.size()) : meanReleaseIntervalMs;
        return restricted;
    }

    /**
     * Records the first part of a response.
     *
     * @param responseMs time since the request was sent, in milliseconds
     * @param nowMs current time, in milliseconds
     */
    public void onResponseStarted(double responseMs, long nowMs) {
        timeToFirstResponseMs = timeToFirstResponseMs == 0
                ? responseMs
                : timeToFirstResponseMs + RESPONSE_WEIGHT * (responseMs - timeToFirstResponseMs);
        lastResponseMs = nowMs;
    }

    /**
     * Records a complete response.
     *
     * @param kind kind of the request's route
     * @param durationMs time from the arrival of the request to the end of the response, in milliseconds
     */
    public void onCompleted(RouteKind kind, long durationMs) {
        durations.computeIfAbsent(kind, unused -> new RecentDurations()).add(durationMs);
    }

    /**
     * Returns the duration of the longest of the most recent responses.
     *
     * @param kind kind of the requests' routes
     * @return the duration in milliseconds, or empty before the first response
     */
    public OptionalLong longestRecentMs(RouteKind kind) {
        RecentDurations recent = durations.get(kind);
        return recent == null ? OptionalLong.empty() : recent.longestMs();
    }

    /**
     * Records the interval between two events of a stream.
     *
     * @param intervalMs the interval, in milliseconds
     */
    public void onEventInterval(double intervalMs) {
        meanEventIntervalMs += EVENT_INTERVAL_WEIGHT
                * (Math.min(intervalMs, MAX_EVENT_INTERVAL_FACTOR * meanEventIntervalMs) - meanEventIntervalMs);
    }

    /**
     * Returns the mean interval between two events of a stream.
     *
     * @return the interval in milliseconds; before the first sample, the longest that callers accept as on time
     */
    public double meanEventIntervalMs() {
        return meanEventIntervalMs;
    }

    /**
     * Records the time of an event of any stream.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onEvent(long nowMs) {
        lastEventMs = nowMs;
    }

    /**
     * Records that a slot became free.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onSlotReleased(long nowMs) {
        if (lastReleaseMs != Long.MIN_VALUE) {
            double intervalMs = Math.min(MAX_RELEASE_INTERVAL_MS, nowMs - lastReleaseMs);
            meanReleaseIntervalMs += RELEASE_INTERVAL_WEIGHT * (intervalMs - meanReleaseIntervalMs);
        }
        lastReleaseMs = nowMs;
    }

    /**
     * Returns the mean time from sending a request to the first part of its response.
     *
     * @return the time in milliseconds, 0 before the first response
     */
    public double timeToFirstResponseMs() {
        return timeToFirstResponseMs;
    }

    /**
     * Returns the expected time until a number of slots have become free.
     *
     * @param slots number of slots
     * @return the time in milliseconds
     */
    public long expectedWaitMs(int slots) {
        return Math.round(slots * meanReleaseIntervalMs);
    }

    /**
     * Returns whether any response started or any stream received an event recently.
     *
     * @param withinMs length of the period, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return {@code true} if the service as a whole made progress within the period
     */
    public boolean hasProgressed(long withinMs, long nowMs) {
        return Math.max(lastEventMs, lastResponseMs) >= nowMs - withinMs;
    }
}
