package org.kingcuproad.emulator.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.Problems;

/**
 * The map calls of one engine. A step of zero in a hold or switch means the next step. A command without a fencing
 * token comes from the agent beside the engine when it starts, and is not checked.
 *
 * <p>Status 409 carries {@code highestFence} for an old fencing token and {@code step} for a step that has begun.
 */
final class MapRoutes {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineGroup group;
    private final EngineMaps maps;

    MapRoutes(EngineGroup group, EngineMaps maps) {
        this.group = group;
        this.maps = maps;
    }

    /** Answers a request below {@code /control/maps}; runs on the event loop of the group. */
    void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (exchange.method().equals("GET")) {
            switch (path) {
                case "/control/maps" -> respondState(exchange);
                case "/control/maps/history" -> respondHistory(exchange);
                default -> Problems.respond(exchange, ErrorKind.NOT_FOUND, path, "");
            }
            return;
        }
        try {
            command(exchange, MAPPER.readTree(exchange.body()));
        } catch (IOException malformed) {
            Problems.respond(exchange, ErrorKind.BAD_REQUEST, "the body is not JSON", "");
        }
    }

    private void command(HttpExchange exchange, JsonNode body) {
        if (body.has("fence") && !maps.admit(body.path("fence").asLong())) {
            respond(exchange, 409, MAPPER.createObjectNode().put("highestFence", maps.highestFence()));
            return;
        }
        switch (exchange.path()) {
            case "/control/maps/prepare" -> prepare(exchange, body);
            case "/control/maps/hold" -> hold(exchange, body);
            case "/control/maps/switch" -> switchMap(exchange, body);
            case "/control/maps/abort" -> {
                maps.release();
                respondState(exchange);
            }
            default -> Problems.respond(exchange, ErrorKind.NOT_FOUND, exchange.path(), "");
        }
    }

    private void prepare(HttpExchange exchange, JsonNode body) {
        boolean loaded =
                maps.load(body.path("mapVersion").asLong(), group.settings().loadMs(), group.nowMs());
        respond(exchange, loaded ? 200 : 202, MAPPER.createObjectNode().put("loaded", loaded));
    }

    private void hold(HttpExchange exchange, JsonNode body) {
        long step = body.path("step").asLong();
        if (step != 0 && step <= group.step()) {
            respond(exchange, 409, MAPPER.createObjectNode().put("step", group.step()));
            return;
        }
        maps.hold(step == 0 ? group.step() + 1 : step);
        respondState(exchange);
    }

    private void switchMap(HttpExchange exchange, JsonNode body) {
        long version = body.path("mapVersion").asLong();
        long step = body.path("step").asLong();
        if (!maps.loaded(version, group.nowMs())) {
            respond(exchange, 202, MAPPER.createObjectNode().put("loaded", false));
        } else if (step != 0 && step <= group.step()) {
            respond(exchange, 409, MAPPER.createObjectNode().put("step", group.step()));
        } else {
            if (step == 0) {
                maps.replaceSchedule(version, group.step() + 1);
            } else {
                maps.schedule(version, step);
            }
            if (!body.path("keepHold").asBoolean()) {
                maps.release();
            }
            respondState(exchange);
        }
    }

    private void respondState(HttpExchange exchange) {
        ObjectNode state = MAPPER.createObjectNode()
                .put("group", group.settings().group())
                .put("mapVersion", maps.mapVersion())
                .put("step", group.step())
                .put("holdStep", maps.holdStep());
        respond(exchange, 200, state);
    }

    private void respondHistory(HttpExchange exchange) {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode steps = answer.putArray("steps");
        group.recentSteps()
                .forEach(used -> steps.addObject()
                        .put("rank", used.rank())
                        .put("step", used.step())
                        .put("mapVersion", used.mapVersion()));
        respond(exchange, 200, answer);
    }

    private static void respond(HttpExchange exchange, int status, ObjectNode body) {
        exchange.respondJson(status, body.toString());
    }
}
