package org.kingcuproad.emulator.platform;

import java.util.function.LongSupplier;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.Problems;

/** The state of the stand-in and its routes. Used on one event loop. */
final class PlatformState {

    private static final int OK = 200;

    private final ObjectTable objects = new ObjectTable();
    private final FaultGate gate = new FaultGate();
    private final WatchHub watches = new WatchHub(objects);
    private final ObjectRoutes objectRoutes = new ObjectRoutes(objects, watches, gate);
    private final ControlRoutes controlRoutes = new ControlRoutes(this);
    private final VmTable vms;

    PlatformState(LongSupplier clockMs) {
        vms = new VmTable(clockMs);
    }

    ObjectTable objects() {
        return objects;
    }

    FaultGate gate() {
        return gate;
    }

    WatchHub watches() {
        return watches;
    }

    VmTable vms() {
        return vms;
    }

    void setFaults(Faults faults) {
        gate.setFaults(faults);
        switch (faults.outage()) {
            case REFUSE -> watches.abortAll();
            case SILENT -> watches.silenceAll();
            case NONE -> {}
        }
    }

    void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.startsWith(ControlRoutes.PREFIX)) {
            controlRoutes.handle(exchange);
        } else if (path.startsWith(ObjectRoutes.PREFIX)) {
            objectRoutes.handle(exchange);
        } else {
            handleList(exchange, path);
        }
    }

    private void handleList(HttpExchange exchange, String path) {
        switch (path) {
            case "/objects" -> objectRoutes.list(exchange);
            case "/watch" -> gate.admit(exchange, CallKind.WATCH, () -> openWatch(exchange));
            case "/vms" -> {
                String stage = exchange.queryValue("stage").orElse("");
                gate.admit(exchange, CallKind.VMS, () -> exchange.respondJson(OK, PlatformJson.vms(vms.list(stage))));
            }
            default -> Problems.respond(exchange, ErrorKind.NOT_FOUND, "no such path", "");
        }
    }

    private void openWatch(HttpExchange exchange) {
        try {
            long since = Long.parseLong(exchange.queryValue("since").orElse("0"));
            watches.open(exchange, exchange.queryValue("prefix").orElse(""), since);
        } catch (NumberFormatException malformed) {
            Problems.respond(exchange, ErrorKind.BAD_REQUEST, "since is not a version", "");
        }
    }
}
