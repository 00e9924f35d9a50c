package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.KeyOwner;
import org.kingcuproad.policy.gateway.RouteTable;

/** Finds where a request goes and on whose behalf, or why it can't be served. */
final class RequestCheck {

    /** A client that is told to come back reaches another gateway, which may know more. */
    private static final long ELSEWHERE_MS = 0;

    private RequestCheck() {}

    /** Result of the check. */
    sealed interface Result {}

    /**
     * The request can be served.
     *
     * @param assignment where it goes
     * @param promptTokens tokens of its prompt, 0 if it has none
     * @param outputTokens tokens that the caller expects, 0 if it does not say
     * @param waitMs how long the client waits for the whole answer, in milliseconds
     */
    record Assigned(Assignment assignment, double promptTokens, double outputTokens, long waitMs) implements Result {}

    /**
     * The request is refused.
     *
     * @param kind kind of the error
     * @param reason what is missing
     * @param retryAfterMs when the client may come back, or a negative number
     */
    record Refused(ErrorKind kind, String reason, long retryAfterMs) implements Result {}

    /**
     * Checks a request.
     *
     * @param certainAgeMs age up to which the configuration is complete enough to deny a request, in milliseconds
     * @param draw number from 0 to 1 that chooses among weighted services
     */
    static Result check(HttpRequest head, HeaderNames names, Knowledge knowledge, long certainAgeMs, double draw) {
        Optional<GatewayConfiguration> configuration = knowledge.configuration();
        Optional<RouteTable> routes = knowledge.routes();
        if (configuration.isEmpty() || routes.isEmpty()) {
            return new Refused(ErrorKind.CONFIGURATION_STALE, "no configuration is known yet", ELSEWHERE_MS);
        }
        HttpHeaders headers = head.headers();
        String requestId = headers.get(names.requestId());
        if (requestId == null || requestId.isEmpty()) {
            return new Refused(ErrorKind.BAD_REQUEST, "the request has no id", -1);
        }
        boolean certain = knowledge.ageMs() <= certainAgeMs;
        Optional<GatewayRoute> found = routes.get().find(headers.get(HttpHeaderNames.HOST, ""), head.uri());
        if (found.isEmpty()) {
            return denied(certain, ErrorKind.NOT_FOUND, "no route matches");
        }
        GatewayRoute route = found.get();
        KeyOwner holder = null;
        if (configuration.get().requiresKeys() && !route.anonymous()) {
            if (!knowledge.acceptsKeys()) {
                return new Refused(ErrorKind.CONFIGURATION_STALE, "keys can't be checked now", ELSEWHERE_MS);
            }
            String key = headers.get(names.key());
            holder = key == null ? null : configuration.get().keyOwners().get(key.strip());
            if (holder == null) {
                return denied(certain, ErrorKind.UNAUTHENTICATED, "the key is not known");
            }
        }
        return assign(route, holder, head, names, draw);
    }

    private static Result denied(boolean certain, ErrorKind kind, String reason) {
        return certain
                ? new Refused(kind, reason, -1)
                : new Refused(ErrorKind.CONFIGURATION_STALE, reason + " in an old configuration", ELSEWHERE_MS);
    }

    private static Result assign(
            GatewayRoute route, @Nullable KeyOwner holder, HttpRequest head, HeaderNames names, double draw) {
        int priority = holder == null ? route.priority() : holder.priority().orElse(route.priority());
        long deadlineMs = number(head.headers().get(names.deadlineMs()), route.timeoutMs());
        long waitMs = Math.min(deadlineMs, route.timeoutMs());
        String tokens = head.headers().get(names.tokenCount());
        double promptTokens = tokens == null ? 0 : number(tokens.split(",")[0].strip(), 0);
        Assignment assignment =
                new Assignment(route, route.selectService(draw), holder == null ? null : holder.workspace(), priority);
        double outputTokens = number(head.headers().get(names.lengthHint()), 0);
        return new Assigned(assignment, promptTokens, outputTokens, waitMs);
    }

    private static long number(@Nullable String text, long otherwise) {
        try {
            return text == null ? otherwise : (long) Double.parseDouble(text);
        } catch (NumberFormatException malformed) {
            return otherwise;
        }
    }
}
