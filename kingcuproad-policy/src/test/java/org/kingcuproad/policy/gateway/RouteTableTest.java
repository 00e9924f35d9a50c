package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that are sent along the route of another host or path. */
class RouteTableTest {

    private static GatewayRoute route(String host, String prefix) {
        return new GatewayRoute(
                host + prefix,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                1_000,
                100,
                1,
                0,
                false,
                false,
                List.of(new WeightedService("a", 3), new WeightedService("b", 1)));
    }

    private final RouteTable table =
            new RouteTable(List.of(route("x.example", "/"), route("x.example", "/a/b/"), route("y.example", "/a/")));

    @ParameterizedTest
    @CsvSource({
        "x.example, /a/b/c, x.example/a/b/",
        "x.example, /a/b/, x.example/a/b/",
        "x.example, /a/b, x.example/",
        "x.example, /a/bc/d, x.example/",
        "X.Example:8080, /a/b/c?q=/a/, x.example/a/b/",
        "y.example, /a/c, y.example/a/"
    })
    void selectsLongestPrefixOfHost(String host, String target, String expected) {
        assertThat(table.find(host, target)).map(GatewayRoute::name).contains(expected);
    }

    @ParameterizedTest
    @CsvSource({"y.example, /b/", "z.example, /a/", "y.example, /?x=/a/"})
    void findsNoRouteForUnknownHostOrPath(String host, String target) {
        assertThat(table.find(host, target)).isEmpty();
    }

    @Test
    void selectsServicesByWeight() {
        GatewayRoute route = route("x.example", "/");

        assertThat(route.selectService(0)).isEqualTo("a");
        assertThat(route.selectService(0.74)).isEqualTo("a");
        assertThat(route.selectService(0.76)).isEqualTo("b");
        assertThat(route.selectService(0.999)).isEqualTo("b");
    }
}
