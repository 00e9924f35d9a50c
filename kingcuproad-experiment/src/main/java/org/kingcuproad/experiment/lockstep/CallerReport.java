package org.kingcuproad.experiment.lockstep;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Stream;

/** What callers got, by kind, workspace and size. */
final class CallerReport {

    static final String ALL = "all";

    private final Map<String, CallerTally> tallies = new TreeMap<>();

    void onAsked(SimulatedStream stream) {
        groups(stream)
                .forEach(group -> tallies.computeIfAbsent(group, unused -> new CallerTally())
                        .onAsked(stream.kind()));
    }

    void onComplete(SimulatedStream stream) {
        groups(stream).forEach(group -> of(group).onComplete(stream.kind(), stream.late()));
    }

    /** Returns what the requests of a kind, a workspace or a size got. */
    CallerTally of(String group) {
        return Objects.requireNonNull(tallies.get(group), group);
    }

    List<String> groups() {
        return List.copyOf(tallies.keySet());
    }

    private static Stream<String> groups(SimulatedStream stream) {
        String kind = stream.kind().name();
        Stream<String> groups = Stream.of(ALL, kind, "workspace " + stream.workspace());
        return stream.large() ? Stream.concat(groups, Stream.of("large " + kind)) : groups;
    }
}
