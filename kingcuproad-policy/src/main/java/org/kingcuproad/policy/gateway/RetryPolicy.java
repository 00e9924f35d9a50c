package org.kingcuproad.policy.gateway;

/** Decides whether a request may be retried on another upstream, and whether it should be because it is stalled. */
public final class RetryPolicy {

    /** A response can't be obtained from another upstream in less time than this. */
    private static final long MIN_REMAINING_MS = 40;

    /** A response that takes this many times the mean is probably lost. */
    private static final double STALL_FACTOR = 4;

    /**
     * Minimum time without a first event after which a stream counts as stalled. This is twice the users' latency goal.
     * Clients disconnect after five times the goal, which leaves time for a retry on another upstream.
     */
    private static final long MIN_FIRST_EVENT_STALL_MS = 800;

    /** Maximum interval between events of a stream that the load of other streams of the service can account for. */
    private static final long MAX_EVENT_INTERVAL_MS = 450;

    /** Multiple of a stream's own longest interval up to which it counts as slow rather than stalled. */
    private static final long SLOW_STREAM_FACTOR = 2;

    /**
     * Fraction of the timeout of an idempotent route after which a response counts as lost even if other responses are
     * slow too.
     */
    private static final double IDEMPOTENT_STALL_FRACTION = 0.4;

    /** A service counts as making progress if any response started or any stream received an event within this time. */
    private static final long PROGRESS_WINDOW_MS = 200;

    private RetryPolicy() {}

    /**
     * Returns whether a request may be sent to another upstream.
     *
     * @param route route of the request
     * @param sends number of upstreams that the request was sent to
     * @param mayHaveRun whether the request may have run at one of them
     * @param remainingMs time that the client will still wait, in milliseconds
     * @return {@code true} if the attempts and the remaining time allow another send and the request can't run twice
     *     against the rules of its route
     */
    public static boolean mayRetry(GatewayRoute route, int sends, boolean mayHaveRun, long remainingMs) {
        return decide(route, sends, mayHaveRun, remainingMs) == RetryDecision.AGAIN;
    }

    /**
     * Decides whether a request may be sent to another upstream, as far as the request itself is concerned.
     *
     * @param route route of the request
     * @param sends number of upstreams that the request was sent to
     * @param mayHaveRun whether the request may have run at one of them
     * @param remainingMs time that the client will still wait, in milliseconds
     * @return whether it may, or why not
     */
    public static RetryDecision decide(GatewayRoute route, int sends, boolean mayHaveRun, long remainingMs) {
        if (!route.retryable() && mayHaveRun) {
            return RetryDecision.NOT_REPEATABLE;
        }
        if (remainingMs <= MIN_REMAINING_MS) {
            return RetryDecision.TOO_LATE;
        }
        return sends < route.attempts() ? RetryDecision.AGAIN : RetryDecision.ATTEMPTS_SPENT;
    }

    /**
     * Returns whether a request may be sent once more to an upstream that has run it, to find out whether its response
     * was whole.
     *
     * @param route route of the request
     * @param remainingMs time that the client will still wait, in milliseconds
     * @return {@code true} if the request may be repeated or resumed and the remaining time allows another send
     */
    public static boolean mayConfirm(GatewayRoute route, long remainingMs) {
        return remainingMs > MIN_REMAINING_MS && route.retryable();
    }

    /**
     * Returns whether a request is stalled at its upstream while the service as a whole makes progress. A stream whose
     * events are far apart is not stalled, nor is one that is not read because its client is slow.
     *
     * @param route route of the request
     * @param progress progress of the request
     * @param statistics statistics of the service
     * @param nowMs current time, in milliseconds
     * @return {@code true} if another upstream would probably respond sooner
     */
    public static boolean isStalled(
            GatewayRoute route, AttemptProgress progress, ServiceStatistics statistics, long nowMs) {
        if (progress.readingPaused()) {
            return false;
        }
        double stallMs = STALL_FACTOR * statistics.timeToFirstResponseMs();
        long waitingMs = nowMs - progress.sentMs();
        return switch (route.kind()) {
            case NON_IDEMPOTENT -> false;
            case IDEMPOTENT ->
                !progress.responseStarted()
                        && waitingMs
                                > Math.max(
                                        route.latencyGoalMs(),
                                        Math.min(stallMs, IDEMPOTENT_STALL_FRACTION * route.timeoutMs()));
            case STREAMING ->
                statistics.hasProgressed(PROGRESS_WINDOW_MS, nowMs)
                        && (progress.responseStarted()
                                ? pauses(progress, nowMs)
                                : waitingMs > Math.max(MIN_FIRST_EVENT_STALL_MS, stallMs));
        };
    }

    /**
     * Returns whether a stream has had no event for longer than its own intervals and the load of others account for.
     *
     * @param progress progress of the request
     * @param nowMs current time, in milliseconds
     * @return {@code true} if the upstream has probably stopped
     */
    public static boolean pauses(AttemptProgress progress, long nowMs) {
        return nowMs - progress.lastEventMs() > maxEventIntervalMs(progress);
    }

    private static long maxEventIntervalMs(AttemptProgress progress) {
        return Math.max(MAX_EVENT_INTERVAL_MS, SLOW_STREAM_FACTOR * progress.longestIntervalMs());
    }
}
