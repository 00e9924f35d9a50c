package org.kingcuproad.policy.scarcity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.ClientLimits;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.KeyOwner;
import org.kingcuproad.policy.gateway.KeyRequirement;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.WeightedService;

/** Guards against a changed order of requests where no priority calls for it. */
class PriorityDifferencesTest {

    private static GatewayRoute route(String service, int priority) {
        return new GatewayRoute(
                service + priority,
                "h",
                "/",
                RouteKind.STREAMING,
                8_000,
                400,
                1,
                priority,
                false,
                true,
                List.of(new WeightedService(service, 1)));
    }

    private static boolean exist(KeyRequirement keys, Map<String, KeyOwner> owners, GatewayRoute... routes) {
        return PriorityDifferences.exist(
                new GatewayConfiguration(1, List.of(routes), Map.of(), ClientLimits.DEFAULTS, keys, owners), "s");
    }

    @Test
    void comparesOnlyTheRoutesOfTheService() {
        assertThat(exist(KeyRequirement.NONE, Map.of(), route("s", 0), route("s", 0), route("other", 1)))
                .isFalse();
        assertThat(exist(KeyRequirement.NONE, Map.of(), route("s", 0), route("s", 1)))
                .isTrue();
    }

    @Test
    void letsWorkspacesTakePrecedenceOverRoutes() {
        Map<String, KeyOwner> same = Map.of("k", new KeyOwner("a", OptionalInt.of(1)));
        Map<String, KeyOwner> different =
                Map.of("k", new KeyOwner("a", OptionalInt.of(1)), "l", new KeyOwner("b", OptionalInt.empty()));
        assertThat(exist(KeyRequirement.ALWAYS, same, route("s", 0), route("s", 2)))
                .isFalse();
        assertThat(exist(KeyRequirement.ALWAYS, different, route("s", 0))).isTrue();
        assertThat(exist(KeyRequirement.ALWAYS, different, route("s", 1))).isFalse();
    }
}
