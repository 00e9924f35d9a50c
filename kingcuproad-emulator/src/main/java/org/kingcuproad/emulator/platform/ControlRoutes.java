package org.kingcuproad.emulator.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.Problems;

/**
 * Answers the calls that control the stand-in itself, which no fault affects.
 *
 * <ul>
 *   <li>{@code PUT /standin/faults} with {@code outage} ({@code none}, {@code refuse}, {@code silent}), {@code slowMs},
 *       {@code lostWriteResponses}; absent members mean no fault
 *   <li>{@code POST /standin/silence-watches} and {@code POST /standin/forget-history}
 *   <li>{@code PUT /standin/vms/{stage}/{name}} with {@code role}, {@code address}, {@code dataCentre}, {@code state},
 *       and {@code DELETE} of the same path
 *   <li>{@code PUT /standin/vm-lag} with {@code lagMs}
 *   <li>{@code GET /standin/counters} and {@code DELETE /standin/counters}
 * </ul>
 */
final class ControlRoutes {

    static final String PREFIX = "/standin/";

    private static final int OK = 200;
    private static final String DONE = "{}";

    private final PlatformState state;

    ControlRoutes(PlatformState state) {
        this.state = state;
    }

    void handle(HttpExchange exchange) {
        List<String> path = List.of(exchange.path().substring(PREFIX.length()).split("/", -1));
        try {
            answer(exchange, exchange.method() + " " + path.get(0), path);
        } catch (IOException | IllegalArgumentException failure) {
            Problems.respond(exchange, ErrorKind.BAD_REQUEST, String.valueOf(failure.getMessage()), "");
        }
    }

    private void answer(HttpExchange exchange, String call, List<String> path) throws IOException {
        switch (call) {
            case "PUT faults" -> state.setFaults(faults(PlatformJson.parse(exchange.body())));
            case "POST silence-watches" -> state.watches().silenceAll();
            case "POST forget-history" -> state.objects().forgetHistory();
            case "PUT vm-lag" ->
                state.vms()
                        .setLagMs(PlatformJson.parse(exchange.body())
                                .path("lagMs")
                                .asLong());
            case "PUT vms" -> state.vms().put(stage(path), vm(path, PlatformJson.parse(exchange.body())));
            case "DELETE vms" -> state.vms().remove(stage(path), vmName(path));
            case "DELETE counters" -> state.gate().resetCounts();
            case "GET counters" -> {
                exchange.respondJson(OK, PlatformJson.counters(state.gate().counts()));
                return;
            }
            default -> {
                Problems.respond(exchange, ErrorKind.NOT_FOUND, "no such control call: " + call, "");
                return;
            }
        }
        exchange.respondJson(OK, DONE);
    }

    private static Faults faults(JsonNode body) {
        return new Faults(
                outage(body.path("outage").asText("none")),
                body.path("slowMs").asLong(),
                body.path("lostWriteResponses").asInt());
    }

    private static Outage outage(String name) {
        return Arrays.stream(Outage.values())
                .filter(outage -> outage.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("outage is none, refuse or silent"));
    }

    private static VmRecord vm(List<String> path, JsonNode body) {
        return new VmRecord(
                vmName(path),
                body.path("role").asText("upstream"),
                body.path("address").asText(),
                body.path("dataCentre").asText(),
                body.path("state").asText("live"));
    }

    private static String stage(List<String> path) {
        checkVmPath(path);
        return path.get(1);
    }

    private static String vmName(List<String> path) {
        checkVmPath(path);
        return path.get(2);
    }

    private static void checkVmPath(List<String> path) {
        if (path.size() != 3) {
            throw new IllegalArgumentException("the path is /standin/vms/{stage}/{name}");
        }
    }
}
