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
 * Follows the objects of one kind: lists them, then waits for changes.
 *
 * @param <T> what an object describes
 */
public final class KindFollower<T> {

    /** Time beyond the wait after which a watch is taken for silent. */
    private static final long WATCH_SLACK_MS = 500;

    /** A slow store answers in some hundred milliseconds. */
    private static final long LIST_TIMEOUT_MS = 1_000;

    /**
     * Pause after a change, so that changes in quick succession take one call; each call is charged. It is short beside
     * the seconds within which a change must be in force.
     */
    private static final long BATCH_MS = 250;

    /** Pause after a failure; calls count against a rate that all processes share. */
    private static final long RETRY_PAUSE_MS = 250;

    private static final int STATUS_GONE = 410;
    private static final byte[] NO_BODY = new byte[0];

    private final StoreDialect<T> dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final SerialHttpConnection connection;
    private final StoreListener<T> listener;
    private final DecisionLog log;
    private final long watchWaitMs;
    private final List<StoreObject<T>> listed = new ArrayList<>();
    private long listAskedSteadyMs;
    private long listAskedWallMs;
    private long listRevision;
    private boolean reachable = true;
    private boolean closed;

    /**
     * Creates a follower that does nothing yet.
     *
     * @param dialect how to ask for objects and read them
     * @param eventLoop runs everything
     * @param clock clocks of the VM
     * @param store address of the store
     * @param listener receives what is learnt
     * @param log log of the process
     * @param watchWaitMs longest wait of one watch, in milliseconds; knowledge is proved to be current as often
     */
    public KindFollower(
            StoreDialect<T> dialect,
            EventLoop eventLoop,
            Clock clock,
            InetSocketAddress store,
            StoreListener<T> listener,
            DecisionLog log,
            long watchWaitMs) {
        this.dialect = dialect;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.connection = new SerialHttpConnection(eventLoop, store);
        this.listener = listener;
        this.log = log;
        this.watchWaitMs = watchWaitMs;
    }

    /** Starts following. */
    public void start() {
        listed.clear();
        listPage(Optional.empty());
    }

    /** Stops following. */
    public void close() {
        closed = true;
        connection.close();
    }

    private void listPage(Optional<String> after) {
        if (closed) {
            return;
        }
        if (after.isEmpty()) {
            listAskedSteadyMs = clock.steadyMs();
            listAskedWallMs = clock.wallMs();
        }
        connection.call(HttpMethod.GET, dialect.listTarget(after), NO_BODY, LIST_TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Answer answer when answer.ok() -> onPage(answer.body(), after);
                case HttpReply.Answer answer -> restart("status " + answer.status());
                case HttpReply.Lost lost -> restart(lost.reason());
            }
        });
    }

    private void onPage(byte[] body, Optional<String> after) {
        StorePage<T> page;
        try {
            page = dialect.readPage(body);
        } catch (IOException unreadable) {
            restart("unreadable listing: " + unreadable);
            return;
        }
        answered();
        listed.addAll(page.objects());
        if (after.isEmpty()) {
            // Changes that happen between two pages are seen again by the watch, which starts at the first page.
            listRevision = page.revision();
        }
        if (page.truncated() && !page.objects().isEmpty()) {
            listPage(Optional.of(page.objects().getLast().name()));
            return;
        }
        List<StoreObject<T>> complete = List.copyOf(listed);
        listed.clear();
        listener.onListing(complete, listAskedSteadyMs, listAskedWallMs);
        watch(listRevision);
    }

    private void watch(long revision) {
        if (closed) {
            return;
        }
        long askedSteadyMs = clock.steadyMs();
        long askedWallMs = clock.wallMs();
        connection.call(
                HttpMethod.GET,
                dialect.watchTarget(revision, watchWaitMs),
                NO_BODY,
                watchWaitMs + WATCH_SLACK_MS,
                reply -> {
                    switch (reply) {
                        case HttpReply.Answer answer
                        when answer.ok() -> onWatched(answer.body(), askedSteadyMs, askedWallMs);
                        case HttpReply.Answer answer
                        when answer.status() == STATUS_GONE -> {
                            log.event("store history gone")
                                    .field("kind", dialect.kind())
                                    .field("revision", revision)
                                    .write();
                            start();
                        }
                        case HttpReply.Answer answer -> restart("status " + answer.status());
                        case HttpReply.Lost lost -> restart(lost.reason());
                    }
                });
    }

    private void onWatched(byte[] body, long askedSteadyMs, long askedWallMs) {
        StoreChanges<T> changes;
        try {
            changes = dialect.readChanges(body);
        } catch (IOException unreadable) {
            restart("unreadable changes: " + unreadable);
            return;
        }
        answered();
        listener.onChanges(changes.changes(), askedSteadyMs, askedWallMs);
        if (changes.changes().isEmpty()) {
            watch(changes.revision());
        } else {
            eventLoop.schedule(() -> watch(changes.revision()), BATCH_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void answered() {
        if (!reachable) {
            reachable = true;
            log.event("store regained").field("kind", dialect.kind()).write();
        }
    }

    private void restart(String reason) {
        if (closed) {
            return;
        }
        if (reachable) {
            reachable = false;
            log.event("store lost")
                    .field("kind", dialect.kind())
                    .field("reason", reason)
                    .write();
        }
        eventLoop.schedule(this::start, RETRY_PAUSE_MS, TimeUnit.MILLISECONDS);
    }
}
