package org.kingcuproad.emulator.platform;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.Problems;

/** Answers the calls of the object API. Used on one event loop. */
final class ObjectRoutes {

    static final String PREFIX = "/objects/";

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int PRECONDITION_FAILED = 412;

    private final ObjectTable objects;
    private final WatchHub watches;
    private final FaultGate gate;

    ObjectRoutes(ObjectTable objects, WatchHub watches, FaultGate gate) {
        this.objects = objects;
        this.watches = watches;
        this.gate = gate;
    }

    void handle(HttpExchange exchange) {
        String key = exchange.path().substring(PREFIX.length());
        switch (exchange.method()) {
            case "GET" -> gate.admit(exchange, CallKind.GET, () -> read(exchange, key));
            case "PUT" -> put(exchange, key);
            case "DELETE" -> delete(exchange, key);
            default -> Problems.respond(exchange, ErrorKind.BAD_REQUEST, "no such method", "");
        }
    }

    void list(HttpExchange exchange) {
        String prefix = exchange.queryValue("prefix").orElse("");
        gate.admit(exchange, CallKind.LIST, () -> {
            exchange.respondJson(OK, PlatformJson.objects(objects.list(prefix), objects.version()));
        });
    }

    private void read(HttpExchange exchange, String key) {
        Optional<ObjectState> found = objects.find(key);
        if (found.isEmpty()) {
            Problems.respond(exchange, ErrorKind.NOT_FOUND, "no object " + key, "");
            return;
        }
        byte[] value = found.get().value().orElseThrow();
        exchange.respond(OK, "application/octet-stream", entityTag(found.get().version()), value);
    }

    private void put(HttpExchange exchange, String key) {
        OptionalLong expected = expectedVersion(exchange);
        if (expected.isPresent()) {
            gate.admit(
                    exchange,
                    CallKind.UPDATE,
                    () -> writeIf(exchange, key, expected.getAsLong(), OK, () -> {
                        return objects.put(key, exchange.body());
                    }));
        } else if (exchange.header("If-None-Match").equals(Optional.of("*"))) {
            gate.admit(
                    exchange,
                    CallKind.CREATE,
                    () -> writeIf(exchange, key, 0, CREATED, () -> {
                        return objects.put(key, exchange.body());
                    }));
        } else {
            refuseUnconditional(exchange);
        }
    }

    private void delete(HttpExchange exchange, String key) {
        OptionalLong expected = expectedVersion(exchange);
        if (expected.isEmpty()) {
            refuseUnconditional(exchange);
            return;
        }
        gate.admit(exchange, CallKind.DELETE, () -> {
            writeIf(exchange, key, expected.getAsLong(), OK, () -> objects.delete(key));
        });
    }

    private void writeIf(
            HttpExchange exchange, String key, long expected, int successStatus, Supplier<ObjectState> write) {
        long current = objects.versionOf(key);
        if (current != expected) {
            exchange.respondJson(PRECONDITION_FAILED, PlatformJson.currentVersion(current));
            return;
        }
        ObjectState state = write.get();
        watches.publish(state);
        gate.answerWrite(exchange, () -> {
            byte[] body = PlatformJson.version(state.version()).getBytes(StandardCharsets.UTF_8);
            exchange.respond(successStatus, "application/json", entityTag(state.version()), body);
        });
    }

    private static OptionalLong expectedVersion(HttpExchange exchange) {
        try {
            return exchange.header("If-Match").stream()
                    .mapToLong(tag -> Long.parseLong(tag.replace("\"", "")))
                    .filter(version -> version > 0)
                    .findFirst();
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }

    private static void refuseUnconditional(HttpExchange exchange) {
        Problems.respond(
                exchange, ErrorKind.BAD_REQUEST, "a write needs If-Match with a version, or If-None-Match: *", "");
    }

    private static Map<String, String> entityTag(long version) {
        return Map.of("ETag", '"' + Long.toString(version) + '"');
    }
}
