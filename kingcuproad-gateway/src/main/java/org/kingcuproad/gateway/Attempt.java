package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.AttemptProgress;
import org.kingcuproad.policy.gateway.BodyEnd;
import org.kingcuproad.policy.gateway.EndedResponse;
import org.kingcuproad.policy.gateway.EventStreamParser;
import org.kingcuproad.policy.gateway.ResponseEnd;
import org.kingcuproad.policy.gateway.ResponseFraming;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.StreamEvent;
import org.kingcuproad.policy.gateway.UpstreamLife;

/**
 * One attempt to run a request at an upstream, until its response has ended. All methods are called on the event loop.
 */
final class Attempt {

    /** Maximum size of a body that is read only to use the connection again. */
    private static final long MAX_DISCARDED_BYTES = 64 << 10;

    private static final String EVENT_STREAM = "text/event-stream";

    private enum ResponseMode {
        AWAITING_HEAD,
        BUFFERED,
        FORWARDED,
        EVENTS,
        DISCARDED
    }

    private final ServiceDispatcher dispatcher;
    private final Exchange exchange;
    private final Upstream upstream;
    private final long sentMs;
    private final EndJudge endJudge;
    private final ResponseBuffer buffer;
    private EventStreamParser parser = new EventStreamParser();
    private ResponseMode mode = ResponseMode.AWAITING_HEAD;
    private @Nullable HttpResponse head;
    private @Nullable AttemptOutcome discardOutcome;
    private @Nullable UpstreamConnection connection;
    private ResponseFraming framing = ResponseFraming.CONNECTION;
    private long receivedEvents;
    private long receivedBytes;
    private boolean written;
    private boolean responseStarted;
    private boolean ended;
    private boolean detached;
    private long lastEventMs;
    private long longestIntervalMs;
    private long discardedBytes;
    private long bytesWithoutProgress;
    private boolean readingPaused;
    private boolean advanced;
    private boolean confirming;
    private @Nullable BufferedResponse whole;
    private boolean endProven;

    Attempt(ServiceDispatcher dispatcher, Exchange exchange, Upstream upstream, long sentMs) {
        this.dispatcher = dispatcher;
        this.exchange = exchange;
        this.upstream = upstream;
        this.sentMs = sentMs;
        this.lastEventMs = sentMs;
        this.buffer = new ResponseBuffer(exchange.connection().memoryAccount());
        this.endJudge = new EndJudge(dispatcher, upstream, exchange.route(), exchange.forwarded());
    }

    String requestId() {
        return exchange.requestId();
    }

    Exchange exchange() {
        return exchange;
    }

    Upstream upstream() {
        return upstream;
    }

    long sentMs() {
        return sentMs;
    }

    /** Returns the progress so far, from which a stalled request is told from a slow one. */
    AttemptProgress progress() {
        return new AttemptProgress(
                responseStarted, sentMs, lastEventMs, longestIntervalMs, readingPaused || confirming);
    }

    boolean responseStarted() {
        return responseStarted;
    }

    /** Returns whether the response has a status that reports success. */
    boolean succeeded() {
        HttpResponse response = head;
        return response != null && response.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** Returns whether the response is known to be complete, rather than cut off by a crash. */
    boolean endProven() {
        return endProven;
    }

    /** Describes the response for the log. */
    ResponseSummary summary() {
        HttpResponse response = head;
        return response == null
                ? ResponseSummary.NONE
                : new ResponseSummary(
                        response.status().code(), seal(response), framing.toString(), receivedEvents, receivedBytes);
    }

    private String seal(HttpResponse response) {
        return response.headers().get(dispatcher.names().seal(), "");
    }

    boolean ended() {
        return ended;
    }

    void onWritten(UpstreamConnection writtenTo) {
        connection = writtenTo;
        written = true;
    }

    /** Returns whether the request has been written, so that the upstream may run it. */
    boolean written() {
        return written;
    }

    void setAutoRead(boolean autoRead) {
        UpstreamConnection current = connection;
        if (current != null && !ended) {
            if (readingPaused && autoRead) {
                lastEventMs = dispatcher.nowMs();
            }
            readingPaused = !autoRead;
            current.setAutoRead(autoRead);
        }
    }

    /** Cancels the attempt by closing its connection, so that the upstream stops working on the request. */
    void cancel() {
        if (!ended) {
            end();
            closeConnection();
        }
    }

    /** Lets the upstream finish the request, but ignores its response. */
    void detach() {
        detached = true;
    }

    void onSkippedResponse(String responseId, HttpResponse response) {
        dispatcher.responses().onSkipped(this, responseId, response);
    }

    void onHead(HttpResponse response, ResponseFraming responseFraming) {
        head = response;
        framing = responseFraming;
        dispatcher.onNotices(upstream, response);
        endJudge.onHead(response, responseFraming);
        boolean resumeIgnored = exchange.headSent() && !isEventStream(response);
        discardOutcome =
                UnusableResponse.of(response, dispatcher.names(), resumeIgnored).orElse(null);
        if (discardOutcome instanceof AttemptOutcome.Lost lost && !detached) {
            // Nothing that follows can be used, and an upstream in trouble may send it without end.
            closeConnection();
            onFailure(lost.reason());
            return;
        }
        if (discardOutcome != null || detached) {
            mode = ResponseMode.DISCARDED;
            return;
        }
        boolean events = isEventStream(response);
        if (events) {
            parser = new EventStreamParser(framing);
        }
        mode = events ? ResponseMode.EVENTS : ResponseMode.BUFFERED;
        if (!events) {
            exchange.onProgress(dispatcher.nowMs());
            markResponseStarted();
        }
    }

    private boolean isEventStream(HttpResponse response) {
        return exchange.route().kind() == RouteKind.STREAMING
                && response.status().codeClass() == HttpStatusClass.SUCCESS
                && response.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM);
    }

    void onBytes(ByteBuf bytes) {
        if (detached) {
            return;
        }
        receivedBytes += bytes.readableBytes();
        switch (mode) {
            case BUFFERED -> buffer(bytes);
            case FORWARDED -> forward(ByteBufUtil.getBytes(bytes));
            case EVENTS -> onEventBytes(bytes);
            case DISCARDED -> discard(bytes.readableBytes());
            case AWAITING_HEAD -> {}
        }
        if (mode == ResponseMode.FORWARDED || mode == ResponseMode.EVENTS) {
            setAutoRead(exchange.connection().writable());
        }
    }

    private void buffer(ByteBuf bytes) {
        if (!buffer.add(bytes)) {
            byte[] bytesSoFar = buffer.drain();
            forwardHead();
            mode = ResponseMode.FORWARDED;
            forward(bytesSoFar);
        }
    }

    private void forward(byte[] bytes) {
        exchange.forwarded().onBytes(bytes.length);
        exchange.connection().sendContent(bytes);
    }

    private void discard(int bytes) {
        AttemptOutcome outcome = discardOutcome;
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES && outcome != null && !ended) {
            closeConnection();
            end();
            dispatcher.onOutcome(this, outcome);
        }
    }

    private void onEventBytes(ByteBuf bytes) {
        List<StreamEvent> events = parser.feed(ByteBufUtil.getBytes(bytes));
        buffer.hold(parser.bufferBytes());
        if (events.stream().anyMatch(event -> event.advances(exchange.lastEventId()))) {
            bytesWithoutProgress = 0;
            endJudge.onAdvanced();
            advanced = true;
            recordProgress(events);
        } else {
            bytesWithoutProgress += bytes.readableBytes();
        }
        forwardEvents(events);
        if (parser.hasForeignLine()) {
            closeConnection();
            onFailure("bytes that are no event in a stream without framing");
        } else if (parser.outOfOrder()) {
            closeConnection();
            onFailure("events whose ids go back");
        } else if (parser.exceedsMaxSize() || bytesWithoutProgress > EventStreamParser.MAX_EVENT_BYTES) {
            closeConnection();
            onFailure(parser.hasPartialEvent() ? "event without end" : "bytes without an event");
        }
    }

    private void closeConnection() {
        UpstreamConnection current = connection;
        if (current != null) {
            current.close();
        }
    }

    private void recordProgress(List<StreamEvent> events) {
        long nowMs = dispatcher.nowMs();
        if (exchange.headSent()) {
            dispatcher.onEventInterval(upstream, (double) (nowMs - lastEventMs) / events.size());
        }
        if (responseStarted) {
            longestIntervalMs = Math.max(longestIntervalMs, nowMs - lastEventMs);
        }
        lastEventMs = nowMs;
        exchange.onProgress(nowMs);
        markResponseStarted();
        dispatcher.onEvent(upstream, nowMs);
    }

    private void forwardEvents(List<StreamEvent> events) {
        receivedEvents += events.size();
        for (StreamEvent event : events) {
            if (event.id() != StreamEvent.NO_ID && event.id() <= exchange.lastEventId()) {
                continue;
            }
            if (!exchange.headSent()) {
                forwardHead();
            }
            exchange.forwarded().onEvent(event);
            exchange.connection().sendContent(event.bytes());
        }
    }

    private void forwardHead() {
        HttpResponse response = head;
        if (response == null) {
            throw new IllegalStateException("the response has not started");
        }
        exchange.forwarded().onHead(seal(response));
        exchange.connection()
                .sendHead(
                        mode == ResponseMode.EVENTS
                                ? ForwardedMessages.eventStreamHead(response)
                                : ForwardedMessages.streamedHead(response),
                        false);
    }

    private void markResponseStarted() {
        if (!responseStarted) {
            responseStarted = true;
            upstream.onPrefillEnded(exchange.promptTokens());
            dispatcher.onResponseStarted(this);
        }
    }

    /**
     * Ends the attempt when the end of its response has been read.
     *
     * @param requestWritten whether the request could be written
     */
    void onEnd(boolean requestWritten) {
        if (ended) {
            return;
        }
        AttemptOutcome discarded = discardOutcome;
        HttpResponse response = head;
        if (detached || response == null) {
            end();
        } else if (discarded != null) {
            end();
            dispatcher.onOutcome(this, discarded);
        } else {
            if (mode == ResponseMode.EVENTS) {
                endJudge.onStreamEnd(progress(), parser.hasPartialEvent(), advanced);
            }
            ResponseEnd end = endJudge.ofEnd(requestWritten, bodyEnd(response), exchange.deadlineMs(), endedEvents());
            switch (end) {
                case ResponseEnd.Complete complete -> complete(complete.evidence());
                case ResponseEnd.CutOff cutOff -> onDisconnected(cutOff.reason());
                case ResponseEnd.Unconfirmed unconfirmed -> probeEnd();
                case ResponseEnd.Probable probable -> probeEnd();
            }
        }
    }

    /** Returns what the body shows about its end, for which a buffered one is copied once. */
    private BodyEnd bodyEnd(HttpResponse response) {
        if (mode == ResponseMode.BUFFERED) {
            BufferedResponse copy = new BufferedResponse(response, buffer.body());
            whole = copy;
            return framing == ResponseFraming.CONNECTION
                    ? copy.bodyEnd(dispatcher.names().requestId())
                    : BodyEnd.UNKNOWN;
        }
        return receivedBytes > 0 ? BodyEnd.UNKNOWN : BodyEnd.EMPTY;
    }

    private EndedResponse.Events endedEvents() {
        return mode == ResponseMode.EVENTS
                ? new EndedResponse.Events(
                        true,
                        parser.hasPartialEvent(),
                        exchange.headSent(),
                        advanced,
                        exchange.forwarded().endedAfterLastEvent())
                : EndedResponse.Events.NONE;
    }

    /** Finds out whether the upstream has crashed. */
    private void probeEnd() {
        if (upstream.mayEndAsPlanned()) {
            // That it no longer listens would say nothing, so there is nothing that speaks against a crash either.
            onUnconfirmedEnd(UpstreamLife.ENDS_AS_PLANNED);
        } else {
            confirming = true;
            dispatcher.confirmEnd(this);
        }
    }

    /** Ends the attempt when it is known whether its upstream still listens after the connection has ended. */
    void onEndProbed(ProbeResult result) {
        if (ended) {
            return;
        }
        if (detached) {
            end();
            return;
        }
        UpstreamLife life = endJudge.life(result);
        switch (endJudge.ofProbe(life)) {
            case ResponseEnd.Complete complete -> complete(complete.evidence());
            case ResponseEnd.CutOff cutOff -> onFailure(cutOff.reason());
            case ResponseEnd.Unconfirmed unconfirmed -> onUnconfirmedEnd(life);
            case ResponseEnd.Probable probable -> onUnconfirmedEnd(life);
        }
    }

    private void onUnconfirmedEnd(UpstreamLife life) {
        endJudge.recordOrderlyEnd();
        exchange.forwarded().onUnconfirmedEnd();
        if (mode == ResponseMode.EVENTS) {
            endJudge.recordUnstatedEnd(life, advanced, summary().status(), parser.trailingBytes());
        }
        String reason = "the response states no end, and its connection ended (upstream: " + life + ")";
        if (replaceable()) {
            end();
            dispatcher.onOutcome(this, new AttemptOutcome.Unconfirmed(reason));
        } else {
            onFailure(reason);
        }
    }

    private void complete(String evidence) {
        BufferedResponse bufferedResponse = whole;
        endProven = true;
        endJudge.recordOrderlyEnd();
        end();
        dispatcher.responses().onComplete(this, evidence);
        exchange.forwarded().onComplete(evidence);
        if (bufferedResponse != null) {
            HttpResponse response = bufferedResponse.head();
            if (response.status().codeClass() == HttpStatusClass.SERVER_ERROR) {
                dispatcher.onOutcome(
                        this,
                        new AttemptOutcome.Failed(
                                bufferedResponse, "status " + response.status().code()));
            } else {
                dispatcher.onResponse(this, bufferedResponse);
            }
        } else {
            if (mode == ResponseMode.EVENTS) {
                exchange.connection().sendContent(parser.trailingBytes());
                if (!advanced) {
                    endJudge.recordNoRest();
                }
            }
            dispatcher.onStreamEnd(this);
        }
    }

    void onFailure(String reason) {
        fail(reason, false);
    }

    /** Ends the attempt before the request is written, for no fault of the upstream in handling requests. */
    void withdraw(String reason) {
        end();
        dispatcher.onOutcome(this, new AttemptOutcome.NotSent(reason, true));
    }

    /** Records that the connection ended without an action of this gateway. */
    void onDisconnected(String reason) {
        fail(reason, true);
    }

    private void fail(String reason, boolean disconnected) {
        if (ended) {
            return;
        }
        end();
        endJudge.recordFailure();
        if (!detached) {
            dispatcher.onOutcome(this, failure(reason, disconnected));
        }
    }

    private AttemptOutcome failure(String reason, boolean disconnected) {
        if (!written) {
            return new AttemptOutcome.NotSent(reason);
        }
        return !replaceable()
                ? new AttemptOutcome.BrokenOff(reason, disconnected)
                : new AttemptOutcome.Lost(reason, disconnected);
    }

    /** Returns whether another upstream can still provide the response, or the rest of it. */
    boolean replaceable() {
        return mode != ResponseMode.FORWARDED && exchange.forwarded().resumable();
    }

    private void end() {
        ended = true;
        buffer.hold(0);
        upstream.onAttemptEnded();
        if (!responseStarted) {
            upstream.onPrefillEnded(exchange.promptTokens());
        }
        dispatcher.onSlotReleased(upstream);
    }
}
