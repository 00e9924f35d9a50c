package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** All runs at the upstreams of one service. */
final class ShapedRuns {

    private final Map<String, List<ShapedRun>> runs = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    /** Records that an upstream received a request. */
    synchronized ShapedRun begin(String head) {
        ShapedRequest request = ShapedRequest.ofId(FakeUpstream.header(head, "X-Request"));
        if (!head.startsWith(request.method() + " " + request.target() + " ")) {
            violate(request.id() + ": another request line: " + head.lines().findFirst());
        }
        String lastEventId = FakeUpstream.header(head, "Last-Event-Id");
        List<ShapedRun> earlier = runs.computeIfAbsent(request.id(), id -> new ArrayList<>());
        ShapedRun run = new ShapedRun(ShapedResponse.draw(
                request, earlier.size() + 1, lastEventId.isEmpty() ? 0 : Long.parseLong(lastEventId)));
        earlier.add(run);
        return run;
    }

    /** Returns the runs of a request, in the order in which they began. */
    synchronized List<ShapedRun> of(String requestId) {
        return List.copyOf(runs.getOrDefault(requestId, List.of()));
    }

    void violate(String violation) {
        violations.add(violation);
    }

    List<String> violations() {
        return violations;
    }
}
