package org.kingcuproad.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Keeps quarantined prompts in the store, so that they stay in force when all gateways restart.
 *
 * <p>They are read once, at the start of the gateway, and again only if that fails or the listing can't be decoded;
 * later ones arrive by datagram from the other gateways. Quarantines are saved while the listing fails.
 */
final class QuarantineStore {

    /** Delay after a failed write; calls count against a rate limit that all processes share. */
    private static final long RETRY_DELAY_MS = 1_000;

    /** Timeout of a call; a slow store responds within a few hundred milliseconds. */
    private static final long TIMEOUT_MS = 1_000;

    private static final int STATUS_CREATED = 201;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop eventLoop;
    private final Clock clock;
    private final QuarantineDialect dialect;
    private final SerialHttpConnection connection;
    private final Consumer<QuarantinedPrompt> onStored;
    private final DecisionLog log;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private @Nullable Call current;
    private RetrySchedule listingRetry = RetrySchedule.START;
    private boolean closed;

    private sealed interface Call {}

    private record ListAll() implements Call {}

    private record Save(QuarantinedPrompt prompt) implements Call {}

    private record Delete(QuarantinedPrompt prompt) implements Call {}

    /**
     * Creates a store client that has not read anything yet.
     *
     * @param clock clocks of the VM
     * @param onStored receives each stored quarantine that was read
     */
    QuarantineStore(
            EventLoop eventLoop,
            Clock clock,
            QuarantineDialect dialect,
            SerialHttpConnection connection,
            Consumer<QuarantinedPrompt> onStored,
            DecisionLog log) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.dialect = dialect;
        this.connection = connection;
        this.onStored = onStored;
        this.log = log;
    }

    /** Reads the stored quarantines. */
    void start() {
        enqueue(new ListAll());
    }

    void save(QuarantinedPrompt prompt) {
        enqueue(new Save(prompt));
    }

    void delete(QuarantinedPrompt prompt) {
        enqueue(new Delete(prompt));
    }

    void close() {
        closed = true;
        connection.close();
    }

    private void enqueue(Call call) {
        waiting.addLast(call);
        callNext();
    }

    private void callNext() {
        Call next = current == null && !closed ? waiting.pollFirst() : null;
        if (next == null) {
            return;
        }
        current = next;
        switch (next) {
            case ListAll list ->
                connection.call(HttpMethod.GET, dialect.relaxedListTarget(), NO_BODY, TIMEOUT_MS, this::onReply);
            case Save save ->
                connection.callOnNewConnection(
                        HttpMethod.POST,
                        dialect.createTarget(),
                        dialect.encode(save.prompt),
                        TIMEOUT_MS,
                        this::onReply);
            case Delete delete ->
                connection.callOnNewConnection(
                        HttpMethod.DELETE,
                        dialect.deleteTarget(delete.prompt.objectName()),
                        NO_BODY,
                        TIMEOUT_MS,
                        this::onReply);
        }
    }

    private void onReply(HttpReply reply) {
        Call call = current;
        if (closed || call == null) {
            return;
        }
        String failure = switch (reply) {
            case HttpReply.Response response -> failureOf(call, response);
            case HttpReply.Lost lost -> lost.reason();
        };
        if (failure.isEmpty()) {
            current = null;
            callNext();
            return;
        }
        log.event("quarantine store unavailable")
                .field("call", call.getClass().getSimpleName())
                .field("reason", failure)
                .write();
        scheduleRetry(call, clock.steadyMs());
    }

    private void scheduleRetry(Call call, long nowMs) {
        switch (call) {
            case ListAll list -> {
                // Writes go on, so that a listing that always fails doesn't keep quarantines from being saved.
                listingRetry = listingRetry.afterFailure(nowMs);
                eventLoop.schedule(() -> enqueue(list), listingRetry.delayMs(nowMs), TimeUnit.MILLISECONDS);
                current = null;
                callNext();
            }
            case Save save -> eventLoop.schedule(() -> retry(save), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            case Delete delete -> eventLoop.schedule(() -> retry(delete), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry(Call call) {
        current = null;
        waiting.addFirst(call);
        callNext();
    }

    /** Returns why a call lacks its effect, or an empty text if it has it, also by another gateway's earlier call. */
    private String failureOf(Call call, HttpReply.Response response) {
        int status = response.status();
        return switch (call) {
            case ListAll list when response.ok() -> read(response.body());
            case Save save when response.ok() || status == STATUS_CREATED || status == STATUS_CONFLICT -> "";
            case Delete delete when response.ok() || status == STATUS_NOT_FOUND -> "";
            case ListAll list -> "status " + status;
            case Save save -> "status " + status;
            case Delete delete -> "status " + status;
        };
    }

    private String read(byte[] body) {
        try {
            dialect.readPage(body).objects().stream()
                    .flatMap(object -> object.value().stream())
                    .forEach(onStored);
            return "";
        } catch (IOException malformed) {
            return "malformed listing: " + malformed;
        }
    }
}
