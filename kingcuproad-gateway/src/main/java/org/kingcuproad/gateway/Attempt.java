package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.EventStreamParser;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.StreamEvent;

/** One send of a request to an upstream, until its answer has ended. All methods are called on the event loop. */
final class Attempt {

    /**
     * Plain answers are held until they are whole, so that a broken one can be replaced; larger ones are passed on as
     * they arrive.
     */
    private static final int MAX_HELD_BYTES = 256 << 10;

    private static final String EVENT_STREAM = "text/event-stream";

    private enum Reading {
        NOTHING,
        HELD,
        PASSED_ON,
        EVENTS,
        DISCARDED
    }

    private final ServicePlaces places;
    private final Exchange exchange;
    private final Upstream upstream;
    private final long sentMs;
    private final EventStreamParser scanner = new EventStreamParser();
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private Reading reading = Reading.NOTHING;
    private @Nullable HttpResponse head;
    private @Nullable AttemptOutcome discardedAs;
    private @Nullable UpstreamLink link;
    private boolean written;
    private boolean read;
    private boolean over;
    private boolean detached;
    private long lastEventMs;

    Attempt(ServicePlaces places, Exchange exchange, Upstream upstream, long sentMs) {
        this.places = places;
        this.exchange = exchange;
        this.upstream = upstream;
        this.sentMs = sentMs;
        this.lastEventMs = sentMs;
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

    /** Returns the time of the last event, or of sending before the first one, in milliseconds. */
    long lastEventMs() {
        return lastEventMs;
    }

    /** Tells whether a part of the answer has arrived that counts as the first answer. */
    boolean answerBegun() {
        return read;
    }

    boolean over() {
        return over;
    }

    void onWritten(UpstreamLink sentOn) {
        link = sentOn;
        written = true;
    }

    void setReading(boolean on) {
        UpstreamLink current = link;
        if (current != null && !over) {
            current.setReading(on);
        }
    }

    /** Gives up: closes the connection, so that the upstream stops working on the request. */
    void cancel() {
        if (!over) {
            UpstreamLink current = link;
            end();
            if (current != null) {
                current.close();
            }
        }
    }

    /** Lets the upstream finish, but ignores its answer. */
    void detach() {
        detached = true;
    }

    void onForeignAnswer(String foreignId) {
        places.onForeignAnswer(this, foreignId);
    }

    void onHead(HttpResponse response) {
        head = response;
        HttpResponseStatus status = response.status();
        boolean notExecuted = response.headers().contains(places.names().notExecuted());
        if (notExecuted || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            discardedAs = new AttemptOutcome.NotRun(
                    "status " + status.code(), status.equals(HttpResponseStatus.MISDIRECTED_REQUEST));
        } else if (status.codeClass() == HttpStatusClass.SUCCESS
                && !response.headers().contains(places.names().seal())) {
            discardedAs = new AttemptOutcome.Lost("success without a seal");
        } else if (exchange.headSent() && status.codeClass() != HttpStatusClass.SUCCESS) {
            discardedAs = new AttemptOutcome.Lost("status " + status.code() + " on resume");
        }
        if (discardedAs != null || detached) {
            reading = Reading.DISCARDED;
            return;
        }
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean events = exchange.route().kind() == RouteKind.STREAMING
                && status.codeClass() == HttpStatusClass.SUCCESS
                && type.startsWith(EVENT_STREAM);
        reading = events ? Reading.EVENTS : Reading.HELD;
        if (!events) {
            exchange.onProgress(places.nowMs());
            noteRead();
        }
    }

    void onBytes(ByteBuf bytes) {
        if (detached) {
            return;
        }
        switch (reading) {
            case HELD -> hold(bytes);
            case PASSED_ON -> exchange.connection().sendContent(bytes.retain());
            case EVENTS -> onEvents(scanner.feed(ByteBufUtil.getBytes(bytes)));
            case NOTHING, DISCARDED -> {}
        }
        if (reading == Reading.PASSED_ON || reading == Reading.EVENTS) {
            setReading(exchange.connection().writable());
        }
    }

    private void hold(ByteBuf bytes) {
        held.writeBytes(ByteBufUtil.getBytes(bytes));
        if (held.size() > MAX_HELD_BYTES) {
            passHead();
            exchange.connection().sendContent(Unpooled.wrappedBuffer(held.toByteArray()));
            held.reset();
            reading = Reading.PASSED_ON;
        }
    }

    private void onEvents(List<StreamEvent> events) {
        if (events.isEmpty()) {
            return;
        }
        long nowMs = places.nowMs();
        if (exchange.headSent()) {
            places.onGap((double) (nowMs - lastEventMs) / events.size());
        }
        lastEventMs = nowMs;
        exchange.onProgress(lastEventMs);
        noteRead();
        places.onEvent(lastEventMs);
        for (StreamEvent event : events) {
            if (event.id() != StreamEvent.NO_ID && event.id() <= exchange.lastEventId()) {
                continue;
            }
            if (!exchange.headSent()) {
                passHead();
            }
            if (event.id() != StreamEvent.NO_ID) {
                exchange.setLastEventId(event.id());
            }
            exchange.connection().sendContent(Unpooled.wrappedBuffer(event.bytes()));
        }
    }

    private void passHead() {
        HttpResponse response = head;
        if (response == null) {
            throw new IllegalStateException("no answer has begun");
        }
        exchange.setHeadSent();
        exchange.connection().sendHead(Forwarding.streamedHead(response), false);
    }

    private void noteRead() {
        if (!read) {
            read = true;
            upstream.onRead(exchange.promptTokens());
            places.onAnswerBegun(this);
        }
    }

    void onEnd() {
        if (over) {
            return;
        }
        HttpResponse response = head;
        AttemptOutcome discarded = discardedAs;
        boolean partialEvent = reading == Reading.EVENTS && (scanner.hasPartialEvent() || !exchange.headSent());
        end();
        if (detached) {
            return;
        }
        if (discarded != null) {
            places.onOutcome(this, discarded);
        } else if (partialEvent) {
            places.onOutcome(this, new AttemptOutcome.Lost("stream ended within an event"));
        } else if (reading == Reading.HELD && response != null) {
            HeldAnswer answer = new HeldAnswer(response, held.toByteArray());
            if (response.status().codeClass() == HttpStatusClass.SERVER_ERROR) {
                places.onOutcome(
                        this,
                        new AttemptOutcome.Failed(
                                answer, "status " + response.status().code()));
            } else {
                places.onAnswer(this, answer);
            }
        } else {
            places.onStreamEnd(this);
        }
    }

    void onBroken(String reason) {
        if (over) {
            return;
        }
        end();
        if (!detached) {
            places.onOutcome(this, written ? new AttemptOutcome.Lost(reason) : new AttemptOutcome.NotSent(reason));
        }
    }

    private void end() {
        over = true;
        upstream.onDone();
        if (!read) {
            upstream.onRead(exchange.promptTokens());
        }
        places.onPlaceFree();
    }
}
