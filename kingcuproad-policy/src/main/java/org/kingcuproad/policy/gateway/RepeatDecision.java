package org.kingcuproad.policy.gateway;

/** Whether a request may and should be sent to another upstream. */
public final class RepeatDecision {

    /** Less time than this does not suffice for another answer, in milliseconds. */
    private static final long LEAST_TIME_MS = 40;

    /** An answer that takes this many times the mean is probably lost. */
    private static final double HUNG_FACTOR = 4;

    /**
     * Shortest time after which a stream without a first event looks hung, in milliseconds. Twice the users' goal; a
     * client leaves after five times the goal, which leaves time for another upstream.
     */
    private static final long STREAM_HUNG_MS = 800;

    /** Longest pause between events of a stream that other streams of the service explain, in milliseconds. */
    private static final long STREAM_GAP_MS = 450;

    /** Part of a plain route's time after which an answer looks lost even if others are slow. */
    private static final double PLAIN_HUNG_SHARE = 0.4;

    /** A service counts as making progress if any stream got an event within this time, in milliseconds. */
    private static final long PROGRESS_MS = 200;

    private RepeatDecision() {}

    /**
     * Tells whether a request may be sent again.
     *
     * @param route route of the request
     * @param sends upstreams that it was sent to
     * @param mayHaveRun whether it may have run at one of them
     * @param leftMs time that the client will still wait, in milliseconds
     * @return {@code true} if another send breaks no promise
     */
    public static boolean mayRepeat(GatewayRoute route, int sends, boolean mayHaveRun, long leftMs) {
        return sends < route.attempts() && leftMs > LEAST_TIME_MS && (route.repeatable() || !mayHaveRun);
    }

    /**
     * Tells whether a request got stuck at its upstream while the service as a whole works.
     *
     * @param route route of the request
     * @param answerBegun whether a part of the answer arrived
     * @param sentMs time of sending, in milliseconds
     * @param lastEventMs time of the last event, in milliseconds
     * @param pace how fast the service answers
     * @param nowMs current time, in milliseconds
     * @return {@code true} if another upstream would probably be faster
     */
    public static boolean looksHung(
            GatewayRoute route, boolean answerBegun, long sentMs, long lastEventMs, ServicePace pace, long nowMs) {
        double usualMs = HUNG_FACTOR * pace.firstAnswerMs();
        return switch (route.kind()) {
            case NON_IDEMPOTENT -> false;
            case IDEMPOTENT ->
                !answerBegun
                        && nowMs - sentMs
                                > Math.max(
                                        route.latencyGoalMs(), Math.min(usualMs, PLAIN_HUNG_SHARE * route.timeoutMs()));
            case STREAMING ->
                pace.progressed(PROGRESS_MS, nowMs)
                        && (answerBegun
                                ? nowMs - lastEventMs > STREAM_GAP_MS
                                : nowMs - sentMs > Math.max(STREAM_HUNG_MS, usualMs));
        };
    }
}
