package org.kingcuproad.emulator.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.Problems;

/** Counts the calls and applies the faults to them. Used on one event loop. */
final class FaultGate {

    private final EnumMap<CallKind, Long> counts = new EnumMap<>(CallKind.class);
    private Faults faults = Faults.NONE;

    FaultGate() {
        resetCounts();
    }

    Faults faults() {
        return faults;
    }

    void setFaults(Faults newFaults) {
        faults = newFaults;
    }

    Map<CallKind, Long> counts() {
        return new EnumMap<>(counts);
    }

    void resetCounts() {
        for (CallKind kind : CallKind.values()) {
            counts.put(kind, 0L);
        }
    }

    /** Carries out a call now or later, or not at all during an outage. */
    void admit(HttpExchange exchange, CallKind kind, Runnable action) {
        counts.merge(kind, 1L, Long::sum);
        switch (faults.outage()) {
            case REFUSE -> Problems.respond(exchange, ErrorKind.STORE_UNAVAILABLE, "outage of the stand-in", "");
            case SILENT -> {}
            case NONE -> {
                if (faults.slowMs() > 0) {
                    exchange.eventLoop().schedule(action, faults.slowMs(), TimeUnit.MILLISECONDS);
                } else {
                    action.run();
                }
            }
        }
    }

    /** Answers a write that took effect, or closes the connection instead if the response is to be lost. */
    void answerWrite(HttpExchange exchange, Runnable answer) {
        if (faults.lostWriteResponses() > 0) {
            faults = faults.withLostWriteResponses(faults.lostWriteResponses() - 1);
            exchange.abort();
        } else {
            answer.run();
        }
    }
}
