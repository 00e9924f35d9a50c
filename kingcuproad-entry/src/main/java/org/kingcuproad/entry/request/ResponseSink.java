package org.kingcuproad.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.stream.ResponseFrame;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.Problems;

/**
 * Passes the response of an upstream to the caller. A small response is held back until it is complete, so that a break
 * can still be answered with an error or a retry; server-sent events and larger responses are passed on as they come.
 */
final class ResponseSink {

    static final String REQUEST_ID_HEADER = "x-request-id";

    private static final int MAX_HELD_BYTES = 64 << 10;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final Set<String> NOT_FORWARDED =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", REQUEST_ID_HEADER);

    private final HttpExchange exchange;
    private final String requestId;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private int status;
    private List<Map.Entry<String, String>> headers = List.of();
    private boolean eventStream;
    private boolean started;
    private boolean ended;
    private long writtenBytes;

    ResponseSink(HttpExchange exchange, String requestId) {
        this.exchange = exchange;
        this.requestId = requestId;
    }

    /** Tells whether a part of the response may have reached the caller, after which no retry is possible. */
    boolean started() {
        return started;
    }

    /** Returns the number of body bytes that were handed to the caller's connection or are held here. */
    long consumedBytes() {
        return writtenBytes + held.size();
    }

    void head(ResponseFrame.Head head) {
        status = head.status();
        headers = head.headers().stream()
                .filter(header -> !NOT_FORWARDED.contains(header.name()))
                .map(header -> Map.entry(header.name(), header.value()))
                .toList();
        eventStream = headers.stream().anyMatch(ResponseSink::isEventStream);
    }

    void chunk(byte[] data) {
        if (!started && !eventStream && held.size() + data.length <= MAX_HELD_BYTES) {
            held.writeBytes(data);
            return;
        }
        startStreaming();
        exchange.write(data, () -> writtenBytes += data.length);
    }

    void complete() {
        ended = true;
        if (started) {
            exchange.finish();
            return;
        }
        started = true;
        Map<String, String> extra = new LinkedHashMap<>();
        headers.forEach(header -> extra.put(header.getKey(), header.getValue()));
        extra.put(REQUEST_ID_HEADER, requestId);
        String contentType = extra.getOrDefault("content-type", "application/octet-stream");
        exchange.respond(status, contentType, extra, held.toByteArray());
    }

    void fail(ErrorKind kind, String detail) {
        if (ended) {
            return;
        }
        ended = true;
        if (!started) {
            started = true;
            Problems.respond(exchange, kind, detail, requestId);
            return;
        }
        if (!eventStream) {
            exchange.abort();
            return;
        }
        String event = "\n\nevent: error\ndata: " + Problems.body(kind, detail, requestId) + "\n\n";
        exchange.write(event.getBytes(StandardCharsets.UTF_8), exchange::abort);
    }

    /** Forgets a response of which nothing has reached the caller. */
    void reset() {
        held.reset();
        status = 0;
        headers = List.of();
        eventStream = false;
    }

    private void startStreaming() {
        if (started) {
            return;
        }
        started = true;
        List<Map.Entry<String, String>> all = new ArrayList<>(headers);
        all.add(Map.entry(REQUEST_ID_HEADER, requestId));
        exchange.start(status, all);
        byte[] first = held.toByteArray();
        held.reset();
        if (first.length > 0) {
            exchange.write(first, () -> writtenBytes += first.length);
        }
    }

    private static boolean isEventStream(Map.Entry<String, String> header) {
        return header.getKey().equals("content-type") && header.getValue().startsWith(EVENT_STREAM);
    }
}
