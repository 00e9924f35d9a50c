package org.kingcuproad.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Watches the stored objects of one kind: lists them, then polls for changes.
 *
 * @param <T> type that an object is decoded to
 */
public final class StoreWatcher<T> {

    /** Time beyond the maximum duration of a watch after which its connection is considered dead. */
    private static final long WATCH_GRACE_MS = 500;

    /** Timeout of a listing; a slow store responds within a few hundred milliseconds. */
    private static final long LIST_TIMEOUT_MS = 1_000;

    /**
     * Delay before the next watch after a change, so that changes in quick succession take one call; each call counts
     * against the rate limit. It is short compared with the seconds within which a change must take effect.
     */
    private static final long BATCH_DELAY_MS = 250;

    /** Delay after a failed call; calls count against a rate limit that all processes share. */
    private static final long RETRY_DELAY_MS = 250;

    /** Maximum number of objects of a listing; a store in trouble may send pages without end. */
    private static final int MAX_LISTED_OBJECTS = 50_000;

    /** Maximum size of all pages of a listing. */
    private static final long MAX_LISTED_BYTES = 16 << 20;

    private static final int STATUS_GONE = 410;
    private static final byte[] NO_BODY = new byte[0];

    private final StoreDialect<T> dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final SerialHttpConnection connection;
    private final StoreListener<T> listener;
    private final DecisionLog log;
    private final long maxWatchMs;
    private final List<StoreObject<T>> listedObjects = new ArrayList<>();
    private long listRequestedSteadyMs;
    private long listRequestedWallMs;
    private long listRevision;
    private long listedBytes;
    private boolean reachable = true;
    private boolean closed;

    /**
     * Creates a watcher that is not started.
     *
     * @param dialect requests and formats of the object kind
     * @param eventLoop event loop that runs all callbacks
     * @param clock clocks of the VM
     * @param store address of the store
     * @param listener receives listings and changes
     * @param log log of the process
     * @param maxWatchMs maximum duration of one watch, in milliseconds; the state is confirmed to be current as often
     */
    public StoreWatcher(
            StoreDialect<T> dialect,
            EventLoop eventLoop,
            Clock clock,
            InetSocketAddress store,
            StoreListener<T> listener,
            DecisionLog log,
            long maxWatchMs) {
        this.dialect = dialect;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.connection = new SerialHttpConnection(eventLoop, store);
        this.listener = listener;
        this.log = log;
        this.maxWatchMs = maxWatchMs;
    }

    /** Starts with a new listing, and watches for changes after it. */
    public void start() {
        listedObjects.clear();
        listedBytes = 0;
        listPage(Optional.empty());
    }

    /** Stops watching and closes the connection. */
    public void close() {
        closed = true;
        connection.close();
    }

    private void listPage(Optional<String> after) {
        if (closed) {
            return;
        }
        if (after.isEmpty()) {
            listRequestedSteadyMs = clock.steadyMs();
            listRequestedWallMs = clock.wallMs();
        }
        connection.call(HttpMethod.GET, dialect.listTarget(after), NO_BODY, LIST_TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Response response when response.ok() -> onPage(response.body(), after);
                case HttpReply.Response response -> retryAfterFailure("status " + response.status());
                case HttpReply.Lost lost -> retryAfterFailure(lost.reason());
            }
        });
    }

    private void onPage(byte[] body, Optional<String> after) {
        StorePage<T> page;
        try {
            page = dialect.readPage(body);
        } catch (IOException malformed) {
            retryAfterFailure("malformed listing: " + malformed);
            return;
        }
        markReachable();
        listedObjects.addAll(page.objects());
        if (after.isEmpty()) {
            // The watch starts at the revision of the first page, so it reports changes that happen between pages
            // again.
            listRevision = page.revision();
        }
        listedBytes += body.length;
        if (listedObjects.size() > MAX_LISTED_OBJECTS || listedBytes > MAX_LISTED_BYTES) {
            listedObjects.clear();
            retryAfterFailure("listing without end");
            return;
        }
        if (page.truncated() && !page.objects().isEmpty()) {
            listPage(Optional.of(page.objects().getLast().name()));
            return;
        }
        List<StoreObject<T>> complete = List.copyOf(listedObjects);
        listedObjects.clear();
        listener.onListing(complete, listRequestedSteadyMs, listRequestedWallMs);
        watch(listRevision);
    }

    private void watch(long revision) {
        if (closed) {
            return;
        }
        long requestedSteadyMs = clock.steadyMs();
        long requestedWallMs = clock.wallMs();
        connection.call(
                HttpMethod.GET,
                dialect.watchTarget(revision, maxWatchMs),
                NO_BODY,
                maxWatchMs + WATCH_GRACE_MS,
                reply -> {
                    switch (reply) {
                        case HttpReply.Response response
                        when response.ok() -> onWatchResponse(response.body(), requestedSteadyMs, requestedWallMs);
                        case HttpReply.Response response
                        when response.status() == STATUS_GONE -> {
                            log.event("store revision expired; listing again")
                                    .field("kind", dialect.kind())
                                    .field("revision", revision)
                                    .write();
                            start();
                        }
                        case HttpReply.Response response -> retryAfterFailure("status " + response.status());
                        case HttpReply.Lost lost -> retryAfterFailure(lost.reason());
                    }
                });
    }

    private void onWatchResponse(byte[] body, long requestedSteadyMs, long requestedWallMs) {
        StoreChanges<T> changes;
        try {
            changes = dialect.readChanges(body);
        } catch (IOException malformed) {
            retryAfterFailure("malformed changes: " + malformed);
            return;
        }
        markReachable();
        listener.onChanges(changes.changes(), requestedSteadyMs, requestedWallMs);
        if (changes.changes().isEmpty()) {
            watch(changes.revision());
        } else {
            eventLoop.schedule(() -> watch(changes.revision()), BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void markReachable() {
        if (!reachable) {
            reachable = true;
            log.event("store reachable again").field("kind", dialect.kind()).write();
        }
    }

    private void retryAfterFailure(String reason) {
        if (closed) {
            return;
        }
        if (reachable) {
            reachable = false;
            log.event("store unreachable")
                    .field("kind", dialect.kind())
                    .field("reason", reason)
                    .write();
        }
        eventLoop.schedule(this::start, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
