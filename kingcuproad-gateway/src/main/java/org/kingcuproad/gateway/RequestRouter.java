package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.KeyOwner;
import org.kingcuproad.policy.gateway.RetryAfter;
import org.kingcuproad.policy.gateway.RouteTable;
import org.kingcuproad.policy.gateway.SharedPromptParts;

/** Routes a request to a service and authenticates its API key, or determines why it is refused. */
final class RequestRouter {

    private RequestRouter() {}

    /** Result of routing a request. */
    sealed interface Result {}

    /**
     * The request can be served.
     *
     * @param decision where the request is sent
     * @param promptTokens number of prompt tokens, 0 if there is no prompt
     * @param outputTokens number of output tokens that the client expects, 0 if it does not say
     * @param promptParts ids of the prompt parts that other requests may have too
     * @param timeAllowedMs how long the client waits for the complete response, in milliseconds
     */
    record Routed(
            RoutingDecision decision,
            double promptTokens,
            double outputTokens,
            List<String> promptParts,
            long timeAllowedMs)
            implements Result {}

    /**
     * The request is refused.
     *
     * @param kind kind of the error
     * @param reason what is missing
     * @param retryAfterMs delay after which the client may retry, or a negative number for none
     */
    record Refused(ErrorKind kind, String reason, long retryAfterMs) implements Result {}

    /**
     * Routes a request.
     *
     * @param maxDenialAgeMs maximum age of a configuration on which a request is denied, in milliseconds
     * @param draw uniformly distributed random number from 0 to 1 that selects among weighted services
     */
    static Result route(HttpRequest head, HeaderNames names, StoreView storeView, long maxDenialAgeMs, double draw) {
        Optional<GatewayConfiguration> configuration = storeView.configuration();
        Optional<RouteTable> routes = storeView.routes();
        if (configuration.isEmpty() || routes.isEmpty()) {
            return new Refused(
                    ErrorKind.CONFIGURATION_STALE, "no configuration has been loaded yet", RetryAfter.OTHER_GATEWAY_MS);
        }
        if (!storeView.evacuations().known()) {
            return new Refused(
                    ErrorKind.CONFIGURATION_STALE, "no evacuations have been listed yet", RetryAfter.OTHER_GATEWAY_MS);
        }
        HttpHeaders headers = head.headers();
        String requestId = headers.get(names.requestId());
        if (requestId == null || requestId.isEmpty()) {
            return new Refused(ErrorKind.BAD_REQUEST, "the request id header is missing", -1);
        }
        boolean reliable = storeView.ageMs() <= maxDenialAgeMs;
        Optional<GatewayRoute> matched = routes.get().find(headers.get(HttpHeaderNames.HOST, ""), head.uri());
        if (matched.isEmpty()) {
            return deny(reliable, ErrorKind.NOT_FOUND, "no route matches");
        }
        GatewayRoute route = matched.get();
        KeyOwner owner = null;
        String key = headers.get(names.key());
        if (!route.anonymous() && configuration.get().keyRequirement().appliesTo(key != null)) {
            if (!storeView.acceptsKeys()) {
                return new Refused(
                        ErrorKind.CONFIGURATION_STALE,
                        "API keys can't be checked because the configuration is too old",
                        RetryAfter.OTHER_GATEWAY_MS);
            }
            Map<String, KeyOwner> keyOwners = configuration.get().keyOwners();
            owner = Optional.ofNullable(key)
                    .flatMap(value -> HeaderText.decode(value.strip()))
                    .map(keyOwners::get)
                    .orElse(null);
            if (owner == null) {
                return deny(reliable, ErrorKind.UNAUTHENTICATED, "the API key is missing or unknown");
            }
            if (HeaderText.encode(owner.workspace()).isEmpty()) {
                return deny(reliable, ErrorKind.FORBIDDEN, "no header can carry the name of the key's workspace");
            }
        }
        return select(route, owner, head, names, draw);
    }

    private static Result deny(boolean reliable, ErrorKind kind, String reason) {
        return reliable
                ? new Refused(kind, reason, -1)
                : new Refused(
                        ErrorKind.CONFIGURATION_STALE,
                        reason + " in a configuration that may be out of date",
                        RetryAfter.OTHER_GATEWAY_MS);
    }

    private static Result select(
            GatewayRoute route, @Nullable KeyOwner owner, HttpRequest head, HeaderNames names, double draw) {
        int priority = owner == null ? route.priority() : owner.priority().orElse(route.priority());
        long deadlineMs = parseNumber(head.headers().get(names.deadlineMs()), route.timeoutMs());
        long timeAllowedMs = Math.min(deadlineMs, route.timeoutMs());
        String tokens = head.headers().get(names.tokenCount());
        double promptTokens = tokens == null ? 0 : parseNumber(tokens.split(",")[0].strip(), 0);
        RoutingDecision decision = new RoutingDecision(
                route, route.selectService(draw), owner == null ? null : owner.workspace(), priority);
        double outputTokens = parseNumber(head.headers().get(names.lengthHint()), 0);
        List<String> promptParts = SharedPromptParts.parse(head.headers().get(names.promptParts()));
        return new Routed(decision, promptTokens, outputTokens, promptParts, timeAllowedMs);
    }

    private static long parseNumber(@Nullable String text, long defaultValue) {
        try {
            return text == null ? defaultValue : (long) Double.parseDouble(text);
        } catch (NumberFormatException malformed) {
            return defaultValue;
        }
    }
}
