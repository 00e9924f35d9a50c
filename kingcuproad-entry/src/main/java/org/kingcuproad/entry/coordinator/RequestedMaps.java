package org.kingcuproad.entry.coordinator;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Maps that an administration call asks for, at most one a group at a time. Owned by the event loop of the entry. */
public final class RequestedMaps implements MapPlanSource {

    private final Map<String, Request> requests = new HashMap<>();

    /** Creates a source without requests. */
    public RequestedMaps() {}

    /**
     * Asks for a map. The request waits until this entry holds the lease and reaches all ranks.
     *
     * @param group name of the group
     * @param target the map
     * @return how the switch ended
     */
    public CompletableFuture<SwitchOutcome> request(String group, MapTarget target) {
        CompletableFuture<SwitchOutcome> result = new CompletableFuture<>();
        if (requests.putIfAbsent(group, new Request(target, result)) != null) {
            result.complete(SwitchOutcome.refused("another map is requested for the group"));
        }
        return result;
    }

    @Override
    public Optional<MapTarget> next(String group) {
        return Optional.ofNullable(requests.get(group)).map(Request::target);
    }

    @Override
    public void finished(String group, MapTarget target, SwitchOutcome outcome) {
        Request request = requests.remove(group);
        if (request != null) {
            request.result().complete(outcome);
        }
    }

    private record Request(MapTarget target, CompletableFuture<SwitchOutcome> result) {}
}
