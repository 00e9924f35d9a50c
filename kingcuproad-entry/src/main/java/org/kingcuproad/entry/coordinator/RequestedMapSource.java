package org.kingcuproad.entry.coordinator;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Supplies maps that an administration call requested, at most one per group at a time. Confined to the event loop of
 * the entry.
 */
public final class RequestedMapSource implements MapTargetSource {

    private final Map<String, PendingRequest> requests = new HashMap<>();

    /** Creates a source without requests. */
    public RequestedMapSource() {}

    /**
     * Requests a switch to a map. The request waits until this entry holds the lease and is connected to all ranks.
     *
     * @param group name of the group
     * @param target the map
     * @return the result of the switch
     */
    public CompletableFuture<SwitchOutcome> request(String group, MapTarget target) {
        CompletableFuture<SwitchOutcome> result = new CompletableFuture<>();
        if (requests.putIfAbsent(group, new PendingRequest(target, result)) != null) {
            result.complete(SwitchOutcome.refused("another map is already requested for the group"));
        }
        return result;
    }

    @Override
    public Optional<MapTarget> next(String group) {
        return Optional.ofNullable(requests.get(group)).map(PendingRequest::target);
    }

    @Override
    public void onSwitchFinished(String group, MapTarget target, SwitchOutcome outcome) {
        PendingRequest request = requests.remove(group);
        if (request != null) {
            request.result().complete(outcome);
        }
    }

    private record PendingRequest(MapTarget target, CompletableFuture<SwitchOutcome> result) {}
}
