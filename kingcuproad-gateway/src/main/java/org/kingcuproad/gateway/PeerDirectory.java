package org.kingcuproad.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.runtime.log.DecisionLog;

/** Registers this gateway in the store and finds the other ones there. */
final class PeerDirectory {

    /** New gateways also greet the known ones by datagram, so this only finds those whose greeting was lost. */
    private static final long REFRESH_MS = 10_000;

    /** Pause after a failed call; calls count against a rate that all processes share. */
    private static final long RETRY_MS = 1_000;
    /** A slow store answers in some hundred milliseconds. */
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
    private final InetSocketAddress own;
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
        this.own = settings.peerAddress();
        this.log = log;
    }

    /** Registers this gateway, then lists the others again and again. */
    void start() {
        byte[] body = dialect.registration(name, own);
        connection.call(HttpMethod.POST, dialect.createTarget(), body, TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Answer answer when answer.ok() || answer.status() == STATUS_CREATED -> list();
                case HttpReply.Answer answer when answer.status() == STATUS_CONFLICT -> replace(body);
                case HttpReply.Answer answer -> again(this::start, "status " + answer.status(), RETRY_MS);
                case HttpReply.Lost lost -> again(this::start, lost.reason(), RETRY_MS);
            }
        });
    }

    private void replace(byte[] body) {
        connection.call(HttpMethod.PUT, dialect.replaceTarget(name), body, TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Answer answer when answer.ok() -> list();
                case HttpReply.Answer answer -> again(this::start, "status " + answer.status(), RETRY_MS);
                case HttpReply.Lost lost -> again(this::start, lost.reason(), RETRY_MS);
            }
        });
    }

    private void list() {
        if (closed) {
            return;
        }
        connection.call(HttpMethod.GET, dialect.relaxedListTarget(), NO_BODY, TIMEOUT_MS, reply -> {
            switch (reply) {
                case HttpReply.Answer answer when answer.ok() -> onListing(answer.body());
                case HttpReply.Answer answer -> again(this::list, "status " + answer.status(), RETRY_MS);
                case HttpReply.Lost lost -> again(this::list, lost.reason(), RETRY_MS);
            }
        });
    }

    private void onListing(byte[] body) {
        try {
            dialect.readPage(body).objects().stream()
                    .filter(object -> !object.name().equals(name))
                    .forEach(object -> object.value()
                            .ifPresent(address -> loads.onListed(object.name(), address, clock.steadyMs())));
        } catch (IOException unreadable) {
            again(this::list, "unreadable listing: " + unreadable, RETRY_MS);
            return;
        }
        if (!closed) {
            eventLoop.schedule(this::list, REFRESH_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void again(Runnable step, String reason, long pauseMs) {
        if (closed) {
            return;
        }
        log.event("gateway registry unavailable").field("reason", reason).write();
        eventLoop.schedule(step, pauseMs, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        connection.close();
    }
}
