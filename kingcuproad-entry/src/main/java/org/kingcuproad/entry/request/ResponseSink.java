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
 * Forwards the response of an upstream to the caller. A small response is buffered until it is complete, so that a
 * failure can still be handled by a retry or reported as an error; server-sent events and larger responses are streamed
 * as they arrive.
 */
final class ResponseSink {

    static final String REQUEST_ID_HEADER = "x-request-id";

    private static final int MAX_BUFFERED_BYTES = 64 << 10;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final Set<String> NOT_FORWARDED =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", REQUEST_ID_HEADER);

    private final HttpExchange exchange;
    private final String requestId;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
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

    /** Returns whether a part of the response may have reached the caller, after which no retry is possible. */
    boolean started() {
        return started;
    }

    /** Returns the number of body bytes that were written to the caller's connection or are buffered here. */
    long consumedBytes() {
        return writtenBytes + buffer.size();
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
        if (!started && !eventStream && buffer.size() + data.length <= MAX_BUFFERED_BYTES) {
            buffer.writeBytes(data);
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
        Map<String, String> responseHeaders = new LinkedHashMap<>();
        headers.forEach(header -> responseHeaders.put(header.getKey(), header.getValue()));
        responseHeaders.put(REQUEST_ID_HEADER, requestId);
        String contentType = responseHeaders.getOrDefault("content-type", "application/octet-stream");
        exchange.respond(status, contentType, responseHeaders, buffer.toByteArray());
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

    /** Discards a response of which nothing has reached the caller. */
    void reset() {
        buffer.reset();
        status = 0;
        headers = List.of();
        eventStream = false;
    }

    private void startStreaming() {
        if (started) {
            return;
        }
        started = true;
        List<Map.Entry<String, String>> responseHeaders = new ArrayList<>(headers);
        responseHeaders.add(Map.entry(REQUEST_ID_HEADER, requestId));
        exchange.start(status, responseHeaders);
        byte[] buffered = buffer.toByteArray();
        buffer.reset();
        if (buffered.length > 0) {
            exchange.write(buffered, () -> writtenBytes += buffered.length);
        }
    }

    private static boolean isEventStream(Map.Entry<String, String> header) {
        return header.getKey().equals("content-type") && header.getValue().startsWith(EVENT_STREAM);
    }
}
