package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.SchedulingAttributes;
import org.kingcuproad.policy.gateway.StreamEvent;

/** One request of a client, from its complete body to its complete answer. All methods are called on the event loop. */
final class Exchange {

    /** Of the time that a client waits for a plain answer, the part after which starting it is no longer worthwhile. */
    private static final double PLAIN_START_SHARE = 0.6;

    /**
     * Clients leave a stream after two seconds, or four times its goal, without an event. A stream that starts after
     * this part of that time rarely brings its first event before the client leaves.
     */
    private static final double STREAM_START_SHARE = 0.65;

    private static final long NEVER = -1;
    /** Shortest gap after which clients leave a stream, as the users state it. */
    private static final long STREAM_PATIENCE_MS = 2_000;
    /** Goals after which clients leave a stream, if that is longer. */
    private static final int STREAM_PATIENCE_GOALS = 4;

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
    private final long giveUpMs;
    private final Set<String> triedUpstreams = new HashSet<>();
    private int sends;
    private long firstSentMs = NEVER;
    private long firstAnswerMs = NEVER;
    private long lastProgressMs = NEVER;
    private long longestGapMs;
    private boolean mayHaveRun;
    private boolean headSent;
    private boolean done;
    private long lastEventId;
    private @Nullable Attempt attempt;
    private @Nullable String lastProblem;

    Exchange(
            ClientConnection connection,
            HttpRequest head,
            ByteBuf body,
            String requestId,
            long arrivedMs,
            Assignment assignment,
            double promptTokens,
            double outputTokens,
            long waitMs) {
        this.connection = connection;
        this.head = head;
        this.body = body;
        this.requestId = requestId;
        this.arrivedMs = arrivedMs;
        this.route = assignment.route();
        this.service = assignment.service();
        this.workspace = assignment.workspace();
        this.priority = assignment.priority();
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.giveUpMs = arrivedMs + waitMs;
        this.lastEventId = StreamEvent.NO_ID;
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

    /** Returns the output tokens that the caller expects, 0 if it does not say. */
    double outputTokens() {
        return outputTokens;
    }

    double promptTokens() {
        return promptTokens;
    }

    /** Returns the time at which the request gets its final answer whatever happens, in milliseconds. */
    long giveUpMs() {
        return giveUpMs;
    }

    int sends() {
        return sends;
    }

    boolean tried(String upstreamId) {
        return triedUpstreams.contains(upstreamId);
    }

    void onSend(String upstreamId, long nowMs) {
        sends++;
        triedUpstreams.add(upstreamId);
        firstSentMs = firstSentMs == NEVER ? nowMs : firstSentMs;
    }

    /** Takes back a send that never reached its upstream, so that it does not count against the route's attempts. */
    void onNotSent() {
        sends--;
    }

    /** Notes that a part of the answer arrived. */
    void onProgress(long nowMs) {
        if (lastProgressMs == NEVER) {
            firstAnswerMs = nowMs;
        } else {
            longestGapMs = Math.max(longestGapMs, nowMs - lastProgressMs);
        }
        lastProgressMs = nowMs;
    }

    /** Returns the time from arrival to the first send, or -1 if it was not sent. */
    long queuedMs() {
        return firstSentMs == NEVER ? NEVER : firstSentMs - arrivedMs;
    }

    /** Returns the time from arrival to the first part of the answer, or -1 if there was none. */
    long firstAnswerMs() {
        return firstAnswerMs == NEVER ? NEVER : firstAnswerMs - arrivedMs;
    }

    /** Returns the longest pause between parts of the answer, in milliseconds. */
    long longestGapMs() {
        return longestGapMs;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void setMayHaveRun() {
        mayHaveRun = true;
    }

    boolean headSent() {
        return headSent;
    }

    void setHeadSent() {
        headSent = true;
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
        return lastEventId;
    }

    void setLastEventId(long id) {
        lastEventId = id;
    }

    @Nullable
    Attempt attempt() {
        return attempt;
    }

    void setAttempt(@Nullable Attempt current) {
        attempt = current;
    }

    @Nullable
    String lastProblem() {
        return lastProblem;
    }

    void setLastProblem(String problem) {
        lastProblem = problem;
    }

    /** Returns what a queue looks at. */
    SchedulingAttributes waiting() {
        long patienceMs = route.kind() == RouteKind.STREAMING
                ? (long) (STREAM_START_SHARE
                        * Math.max(STREAM_PATIENCE_MS, STREAM_PATIENCE_GOALS * route.latencyGoalMs()))
                : (long) (PLAIN_START_SHARE * (giveUpMs - arrivedMs));
        long startByMs = headSent ? giveUpMs : Math.min(giveUpMs, arrivedMs + patienceMs);
        return new SchedulingAttributes(
                arrivedMs, arrivedMs + route.latencyGoalMs(), startByMs, headSent ? -1 : priority);
    }
}
