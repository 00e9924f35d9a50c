package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.SchedulingAttributes;
import org.kingcuproad.policy.scarcity.RequestTraits;
import org.kingcuproad.policy.scarcity.ScarceRequest;

/** One client request, from its complete body to its complete response. All methods are called on the event loop. */
final class Exchange {

    /**
     * Fraction of the time that a client waits for a non-streaming response after which starting the request is no
     * longer worthwhile.
     */
    private static final double NON_STREAMING_START_FRACTION = 0.6;

    /**
     * Clients abandon a stream after two seconds, or four times its latency goal if that is longer, without an event. A
     * stream that starts after this fraction of that time rarely delivers its first event before the client
     * disconnects.
     */
    private static final double STREAM_START_FRACTION = 0.65;

    private static final long NEVER = -1;
    /** Minimum gap between events after which clients abandon a stream, as specified by the users. */
    private static final long STREAM_ABANDON_MS = 2_000;
    /** Multiple of the latency goal after which clients abandon a stream, if that is longer than the minimum gap. */
    private static final int STREAM_ABANDON_GOALS = 4;

    private final ClientConnection connection;
    private final HttpRequest head;
    private final ByteBuf body;
    private final String requestId;
    private final long arrivedMs;
    private final GatewayRoute route;
    private final String service;
    private final @Nullable String workspace;
    private final int priority;
    private final double promptTokens;
    private final double outputTokens;
    private final List<String> promptParts;
    private final long deadlineMs;
    private final Set<String> triedUpstreams = new HashSet<>();
    private @Nullable String confirmingUpstream;
    private boolean lastSendConfirms;
    private int confirmations;
    private int sends;
    private long firstSentMs = NEVER;
    private long firstResponseMs = NEVER;
    private long lastProgressMs = NEVER;
    private long longestGapMs;
    private boolean mayHaveRun;
    private boolean done;
    private final ForwardedResponse forwarded = new ForwardedResponse();
    private @Nullable Attempt attempt;
    private @Nullable String lastFailure;
    private RequestTraits traits = RequestTraits.NONE;

    Exchange(
            ClientConnection connection,
            HttpRequest head,
            ByteBuf body,
            String requestId,
            long arrivedMs,
            RequestRouter.Routed routed) {
        this.connection = connection;
        this.head = head;
        this.body = body;
        this.requestId = requestId;
        this.arrivedMs = arrivedMs;
        RoutingDecision decision = routed.decision();
        this.route = decision.route();
        this.service = decision.service();
        this.workspace = decision.workspace();
        this.priority = decision.priority();
        this.promptTokens = routed.promptTokens();
        this.outputTokens = routed.outputTokens();
        this.promptParts = routed.promptParts();
        this.deadlineMs = arrivedMs + routed.timeAllowedMs();
    }

    ClientConnection connection() {
        return connection;
    }

    HttpRequest head() {
        return head;
    }

    ByteBuf body() {
        return body;
    }

    String requestId() {
        return requestId;
    }

    long arrivedMs() {
        return arrivedMs;
    }

    GatewayRoute route() {
        return route;
    }

    String service() {
        return service;
    }

    @Nullable
    String workspace() {
        return workspace;
    }

    int priority() {
        return priority;
    }

    /** Returns the number of output tokens that the client expects, 0 if it does not say. */
    double outputTokens() {
        return outputTokens;
    }

    /** Returns the ids of the prompt parts that other requests may have too. */
    List<String> promptParts() {
        return promptParts;
    }

    double promptTokens() {
        return promptTokens;
    }

    /** Returns the time at which the request is ended even without a response, in milliseconds. */
    long deadlineMs() {
        return deadlineMs;
    }

    int sends() {
        return sends;
    }

    /**
     * Returns whether the request may be sent to an upstream: to one that is asked once more, or to a new one as long
     * as the route's limit of attempts allows it.
     */
    boolean admits(String upstreamId) {
        return upstreamId.equals(confirmingUpstream)
                || (sends < route.attempts() && !triedUpstreams.contains(upstreamId));
    }

    /** Returns whether the request has been sent to any upstream. */
    boolean tried() {
        return !triedUpstreams.isEmpty();
    }

    void onSend(String upstreamId, long nowMs) {
        lastSendConfirms = upstreamId.equals(confirmingUpstream);
        confirmingUpstream = null;
        if (!lastSendConfirms) {
            sends++;
        }
        triedUpstreams.add(upstreamId);
        firstSentMs = firstSentMs == NEVER ? nowMs : firstSentMs;
    }

    /**
     * Uncounts an attempt whose request never reached the upstream, so that it does not count against the route's limit
     * of attempts.
     */
    void onNotSent() {
        if (!lastSendConfirms) {
            sends--;
        }
    }

    /**
     * Asks an upstream once more that has ended its response without saying whether that was all. The route's limit of
     * attempts is one of upstreams, so this doesn't count against it.
     */
    void confirmAt(String upstreamId) {
        confirmingUpstream = upstreamId;
        confirmations++;
    }

    /** Returns how often the request was sent once more to an upstream that had it before. */
    int confirmations() {
        return confirmations;
    }

    /** Records that a part of the response arrived. */
    void onProgress(long nowMs) {
        if (lastProgressMs == NEVER) {
            firstResponseMs = nowMs;
        } else {
            longestGapMs = Math.max(longestGapMs, nowMs - lastProgressMs);
        }
        lastProgressMs = nowMs;
    }

    /** Returns the time from arrival to the first attempt in milliseconds, or -1 if there was none. */
    long queuedMs() {
        return firstSentMs == NEVER ? NEVER : firstSentMs - arrivedMs;
    }

    /** Returns the time from arrival to the first part of the response in milliseconds, or -1 if there was none. */
    long firstResponseMs() {
        return firstResponseMs == NEVER ? NEVER : firstResponseMs - arrivedMs;
    }

    /** Returns the longest gap between parts of the response, in milliseconds. */
    long longestGapMs() {
        return longestGapMs;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void setMayHaveRun() {
        mayHaveRun = true;
    }

    /** Returns what has been passed on to the client. */
    ForwardedResponse forwarded() {
        return forwarded;
    }

    boolean headSent() {
        return forwarded.headSent();
    }

    boolean done() {
        return done;
    }

    void setDone() {
        if (!done) {
            done = true;
            body.release();
        }
    }

    long lastEventId() {
        return forwarded.lastEventId();
    }

    @Nullable
    Attempt attempt() {
        return attempt;
    }

    void setAttempt(@Nullable Attempt current) {
        attempt = current;
    }

    @Nullable
    String lastFailure() {
        return lastFailure;
    }

    void setLastFailure(String failure) {
        lastFailure = failure;
    }

    void setTraits(RequestTraits requestTraits) {
        traits = requestTraits;
    }

    /** Returns what the decisions on scarce capacity need to know. */
    ScarceRequest scarceRequest() {
        return new ScarceRequest(schedulingAttributes(), traits, !tried() && !headSent() && !mayHaveRun);
    }

    /**
     * Returns the attributes by which the queue orders and expires the request. A stream that is being resumed comes
     * before all other requests.
     */
    SchedulingAttributes schedulingAttributes() {
        long maxStartDelayMs = route.kind() == RouteKind.STREAMING
                ? (long) (STREAM_START_FRACTION
                        * Math.max(STREAM_ABANDON_MS, STREAM_ABANDON_GOALS * route.latencyGoalMs()))
                : (long) (NON_STREAMING_START_FRACTION * (deadlineMs - arrivedMs));
        long startDeadlineMs = headSent() ? deadlineMs : Math.min(deadlineMs, arrivedMs + maxStartDelayMs);
        return new SchedulingAttributes(
                arrivedMs, arrivedMs + route.latencyGoalMs(), startDeadlineMs, headSent() ? -1 : priority);
    }
}
