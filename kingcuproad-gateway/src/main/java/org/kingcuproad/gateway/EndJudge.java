package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.kingcuproad.policy.gateway.AttemptProgress;
import org.kingcuproad.policy.gateway.BodyEnd;
import org.kingcuproad.policy.gateway.EndConfirmations;
import org.kingcuproad.policy.gateway.EndedResponse;
import org.kingcuproad.policy.gateway.FramingHabit;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.ResponseEnd;
import org.kingcuproad.policy.gateway.ResponseFraming;
import org.kingcuproad.policy.gateway.RetryPolicy;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.UpstreamLife;

/** Collects what is known of the end of the response to one attempt, and has it decided whether that is complete. */
final class EndJudge {

    private final ServiceDispatcher dispatcher;
    private final Upstream upstream;
    private final ForwardedResponse forwarded;
    private final EndConfirmations confirmations;
    private final boolean unrepeatableStream;
    private final int crashesBefore;
    private final boolean asksForRest;
    private ResponseFraming framing = ResponseFraming.NO_BODY;
    private boolean successful;
    private boolean recorded;
    private boolean pausedBeforeEnd;
    private String evidence = "";

    /** Creates a judge of a response to a request that is about to be sent. */
    EndJudge(ServiceDispatcher dispatcher, Upstream upstream, GatewayRoute route, ForwardedResponse forwarded) {
        this.dispatcher = dispatcher;
        this.upstream = upstream;
        this.forwarded = forwarded;
        this.confirmations = dispatcher.unstatedEnds().confirmations();
        this.asksForRest = forwarded.unstatedEnd() != null;
        this.unrepeatableStream = route.kind() == RouteKind.STREAMING && !route.retryable();
        this.crashesBefore = upstream.crashes();
    }

    /** Records the head of the response. */
    void onHead(HttpResponse head, ResponseFraming headFraming) {
        framing = headFraming;
        successful = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (successful) {
            upstream.announcedEnds().onHead(framing, !HttpUtil.isKeepAlive(head));
            if (framing != ResponseFraming.CONNECTION) {
                dispatcher.framingHabit().onResponse(framing);
            }
        }
    }

    /** Records an event that the client had not received. */
    void onAdvanced() {
        if (forwarded.unstatedEnd() != null) {
            confirmations.onRefuted(dispatcher.nowMs());
        }
    }

    /**
     * Records the end of an event stream before anything is decided about it.
     *
     * @param progress progress of the request up to the end
     * @param partialEvent whether the stream ended inside an event
     * @param advanced whether it had an event that the client had not received
     */
    void onStreamEnd(AttemptProgress progress, boolean partialEvent, boolean advanced) {
        pausedBeforeEnd = RetryPolicy.pauses(progress, dispatcher.nowMs());
        if (asksForRest && partialEvent && !advanced) {
            forwarded.withdrawUnstatedEnd();
            confirmations.onRefuted(dispatcher.nowMs());
        }
    }

    /**
     * Records an end of an event stream that nothing has stated or confirmed.
     *
     * @param advanced whether it had an event that the client had not received
     * @param status status of the response
     * @param trailingBytes blank lines after the last event
     */
    void recordUnstatedEnd(UpstreamLife life, boolean advanced, int status, byte[] trailingBytes) {
        if (life != UpstreamLife.LISTENING) {
            return;
        }
        if (!advanced) {
            recordNoRest();
        } else if (!pausedBeforeEnd) {
            // A group cuts streams off some time after it has stopped, and its ranks go on listening.
            confirmations.onOrderlyEnd(dispatcher.nowMs());
            forwarded.onUnstatedEnd(new UnstatedEnd(upstream, crashesBefore, status, trailingBytes));
        }
    }

    /** Records that the response has ended without an event that the client had not received. */
    void recordNoRest() {
        if (asksForRest && framing == ResponseFraming.CONNECTION) {
            confirmations.onOrderlyEnd(dispatcher.nowMs());
            confirmations.onUnstated();
        } else if (asksForRest) {
            confirmations.onStated();
        }
    }

    /** Records an orderly end of the response. What was cut off shows no habit. */
    void recordOrderlyEnd() {
        recorded = true;
        if (successful && framing == ResponseFraming.CONNECTION) {
            dispatcher.framingHabit().onResponse(framing);
            if (unrepeatableStream) {
                upstream.announcedEnds().onOrderlyEnd();
            }
        }
    }

    /** Records a failure, which shows that the response was cut off unless its end was an orderly one. */
    void recordFailure() {
        if (!recorded && successful && framing == ResponseFraming.CONNECTION) {
            upstream.announcedEnds().onCutOff();
            confirmations.onCutOff(dispatcher.nowMs());
        }
    }

    /**
     * Returns whether a response is complete when its end has been read.
     *
     * @param requestWritten whether the request could be written
     * @param body what the body shows about its end
     * @param deadlineMs time at which the upstream stops working on the request, in milliseconds
     */
    ResponseEnd ofEnd(boolean requestWritten, BodyEnd body, long deadlineMs, EndedResponse.Events events) {
        boolean unframed = framing == ResponseFraming.CONNECTION;
        ResponseEnd end = ResponseEnd.of(
                new EndedResponse(
                        framing,
                        requestWritten,
                        body,
                        unframed ? habit() : FramingHabit.Kind.UNKNOWN,
                        unframed && dispatcher.anyRankCrashed(),
                        deadlineMs,
                        events),
                dispatcher.nowMs());
        evidence = end instanceof ResponseEnd.Probable probable ? probable.evidence() : "";
        return end;
    }

    /**
     * An upstream is believed by itself only if nobody can be asked for what follows the end, and a service that never
     * states ends only as long as none was refuted.
     */
    private FramingHabit.Kind habit() {
        if (unrepeatableStream && upstream.announcedEnds().believed()) {
            return FramingHabit.Kind.ENDS_WITH_CONNECTION;
        }
        FramingHabit.Kind habit = dispatcher.framingHabit().kind();
        boolean refuted = confirmations.refuted(dispatcher.nowMs());
        return habit == FramingHabit.Kind.ENDS_WITH_CONNECTION && refuted ? FramingHabit.Kind.UNKNOWN : habit;
    }

    /** Returns whether the response is complete now that its upstream has been probed. */
    ResponseEnd ofProbe(UpstreamLife life) {
        return ResponseEnd.ofProbed(evidence, life);
    }

    /** Returns what is known of the upstream when it has been probed. */
    UpstreamLife life(ProbeResult result) {
        if (result == ProbeResult.REFUSED || upstream.endedSince(crashesBefore)) {
            return UpstreamLife.ENDED;
        }
        if (dispatcher.anyRankCrashed()) {
            return UpstreamLife.RANK_CRASHED;
        }
        if (upstream.mayEndAsPlanned()) {
            return UpstreamLife.ENDS_AS_PLANNED;
        }
        return result == ProbeResult.LISTENING ? UpstreamLife.LISTENING : UpstreamLife.SILENT;
    }
}
