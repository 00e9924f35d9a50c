package org.kingcuproad.emulator.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The VMs of all stages, shown as they were some time ago. Used on one event loop. */
final class VmTable {

    private final LongSupplier clockMs;
    private final List<Change> changes = new ArrayList<>();
    private long lagMs;

    VmTable(LongSupplier clockMs) {
        this.clockMs = clockMs;
    }

    void setLagMs(long newLagMs) {
        lagMs = newLagMs;
    }

    void put(String stage, VmRecord vm) {
        changes.add(new Change(clockMs.getAsLong(), stage, vm.name(), Optional.of(vm)));
    }

    void remove(String stage, String name) {
        changes.add(new Change(clockMs.getAsLong(), stage, name, Optional.empty()));
    }

    List<VmRecord> list(String stage) {
        long shownUntilMs = clockMs.getAsLong() - lagMs;
        TreeMap<String, VmRecord> shown = new TreeMap<>();
        changes.stream()
                .filter(change -> change.stage().equals(stage) && change.atMs() <= shownUntilMs)
                .forEach(change -> change.vm()
                        .ifPresentOrElse(vm -> shown.put(change.name(), vm), () -> shown.remove(change.name())));
        return List.copyOf(shown.values());
    }

    /** An entry of the history; an absent VM is a removed one. */
    private record Change(long atMs, String stage, String name, Optional<VmRecord> vm) {}
}
