package org.kingcuproad.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.runtime.log.DecisionLog;

/** Registers this gateway in the store and discovers the other gateways there. */
final class PeerDirectory {

    /**
     * Interval between listings. New gateways also announce themselves to the known ones by datagram, so a listing only
     * finds those whose datagrams were lost.
     */
    private static final long LIST_INTERVAL_MS = 10_000;

    /** Delay after a failed call; calls count against a rate limit that all processes share. */
    private static final long RETRY_DELAY_MS = 1_000;
    /** Timeout of a call; a slow store responds within a few hundred milliseconds. */
    private static final long TIMEOUT_MS = 1_000;

    private static final int STATUS_CREATED = 201;
    private static final int STATUS_CONFLICT = 409;
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop eventLoop;
    private final RegistryDialect dialect;
    private final SerialHttpConnection connection;
    private final PeerLoads loads;
    private final Clock clock;
    private final String name;
    private final InetSocketAddress ownAddress;
    private final DecisionLog log;
    private boolean closed;

    PeerDirectory(
            EventLoop eventLoop,
            RegistryDialect dialect,
            GatewaySettings settings,
            PeerLoads loads,
            Clock clock,
            DecisionLog log) {
        this.eventLoop = eventLoop;
        this.dialect = dialect;
        this.connection = new SerialHttpConnection(eventLoop, settings.storeAddress());
        this.loads = loads;
        this.clock = clock;
        this.name = settings.name();
        this.ownAddress = settings.peerAddress();
        this.log = log;
    }

    /** Registers this gateway, then lists the others periodically. */
    void start() {
        byte[] body = dialect.registration(name, ownAddress);
        connection.callOnNewConnection(HttpMethod.POST, dialect.createTarget(), body, TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Response response when response.ok() || response.status() == STATUS_CREATED -> list();
                case HttpReply.Response response when response.status() == STATUS_CONFLICT -> replace(body);
                case HttpReply.Response response ->
                    retryLater(this::start, "status " + response.status(), RETRY_DELAY_MS);
                case HttpReply.Lost lost -> retryLater(this::start, lost.reason(), RETRY_DELAY_MS);
            }
        });
    }

    private void replace(byte[] body) {
        connection.callOnNewConnection(HttpMethod.PUT, dialect.replaceTarget(name), body, TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Response response when response.ok() -> list();
                case HttpReply.Response response ->
                    retryLater(this::start, "status " + response.status(), RETRY_DELAY_MS);
                case HttpReply.Lost lost -> retryLater(this::start, lost.reason(), RETRY_DELAY_MS);
            }
        });
    }

    private void list() {
        if (closed) {
            return;
        }
        connection.call(HttpMethod.GET, dialect.relaxedListTarget(), NO_BODY, TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Response response when response.ok() -> onListing(response.body());
                case HttpReply.Response response ->
                    retryLater(this::list, "status " + response.status(), RETRY_DELAY_MS);
                case HttpReply.Lost lost -> retryLater(this::list, lost.reason(), RETRY_DELAY_MS);
            }
        });
    }

    private void onListing(byte[] body) {
        try {
            dialect.readPage(body).objects().stream()
                    .filter(object -> !object.name().equals(name))
                    .forEach(object -> object.value()
                            .ifPresent(address -> loads.onListed(object.name(), address, clock.steadyMs())));
        } catch (IOException malformed) {
            retryLater(this::list, "malformed listing: " + malformed, RETRY_DELAY_MS);
            return;
        }
        loads.onListingEnd();
        if (!closed) {
            eventLoop.schedule(this::list, LIST_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retryLater(Runnable task, String reason, long delayMs) {
        if (closed) {
            return;
        }
        log.event("gateway registry unavailable").field("reason", reason).write();
        eventLoop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        connection.close();
    }
}
