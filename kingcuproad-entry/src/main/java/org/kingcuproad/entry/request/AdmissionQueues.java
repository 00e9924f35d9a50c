package org.kingcuproad.entry.request;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Model;
import org.kingcuproad.model.Service;
import org.kingcuproad.policy.admission.AdmissionDecision;
import org.kingcuproad.policy.admission.AdmissionRequest;
import org.kingcuproad.policy.admission.PollResult;
import org.kingcuproad.policy.admission.QueuedRequest;
import org.kingcuproad.policy.admission.WorkspaceShare;

/**
 * The queued requests of an entry, in one fair admission queue for each model and service. Confined to the event loop
 * of the entry.
 */
final class AdmissionQueues {

    /** Engine priority of requests of workspaces within their share; requests of other workspaces have priority 0. */
    private static final int PRIORITY_WITHIN_SHARE = 1;

    private final Map<String, TargetQueue> queues = new HashMap<>();
    private final Map<RequestTask, QueuedRequest<RequestTask>> queuedRequests = new IdentityHashMap<>();
    private final UpstreamSelector selector;

    AdmissionQueues(UpstreamSelector selector) {
        this.selector = selector;
    }

    /**
     * Updates the workspaces, models and services from a document.
     *
     * @param document the document in force
     */
    void update(EnvironmentDocument document) {
        int maxQueued = document.limits().maxQueuedPerWorkspace();
        List<WorkspaceShare> shares = document.workspaces().stream()
                .map(workspace -> WorkspaceShare.of(workspace, maxQueued))
                .toList();
        Stream<String> models = document.models().stream().map(Model::name);
        Stream<String> services = document.services().stream().map(Service::name);
        Stream.concat(models, services).forEach(name -> queues.computeIfAbsent(name, TargetQueue::new));
        queues.values().forEach(queue -> queue.admission.update(shares));
    }

    /**
     * Queues a request, and dispatches it immediately if it is next and an upstream has spare capacity.
     *
     * @param task the request
     * @param nowNs current time, in nanoseconds
     */
    void offer(RequestTask task, long nowNs) {
        String name = task.context().target().name();
        TargetQueue queue = queues.get(name);
        if (queue == null) {
            task.refuse(ErrorKind.NO_UPSTREAM, "no upstream serves " + name);
            return;
        }
        switch (queue.admission.offer(task, admissionRequest(queue, task, nowNs), toMillis(nowNs))) {
            case AdmissionDecision.Refused<RequestTask> refused -> task.refuse(refused.kind(), refused.detail());
            case AdmissionDecision.Queued<RequestTask> queued -> {
                queuedRequests.put(task, queued.queuedRequest());
                dispatchReady(queue, nowNs);
            }
        }
    }

    /**
     * Handles the end of a request, and dispatches queued requests that can use the released capacity.
     *
     * @param task the request
     * @param nowNs current time, in nanoseconds
     */
    void onEnded(RequestTask task, long nowNs) {
        TargetQueue queue = queues.get(task.context().target().name());
        QueuedRequest<RequestTask> queuedRequest = queuedRequests.remove(task);
        if (queue == null || queuedRequest == null) {
            return;
        }
        if (!queue.admission.cancel(queuedRequest) && task.dispatched()) {
            queue.admission.onFinished(task.context().workspace());
        }
        dispatchReady(queue, nowNs);
    }

    /**
     * Records the time from dispatch to the first byte of a response.
     *
     * @param task the request
     * @param latencyMs the time, in milliseconds
     * @param nowNs current time, in nanoseconds
     */
    void onFirstByte(RequestTask task, double latencyMs, long nowNs) {
        TargetQueue queue = queues.get(task.context().target().name());
        if (queue != null) {
            queue.firstByteLatency.add(latencyMs, toMillis(nowNs));
        }
    }

    /**
     * Dispatches queued requests for which upstreams have spare capacity, and refuses those whose first byte can no
     * longer arrive in time.
     *
     * @param nowNs current time, in nanoseconds
     */
    void dispatchAllReady(long nowNs) {
        queues.values().forEach(queue -> dispatchReady(queue, nowNs));
    }

    private void dispatchReady(TargetQueue queue, long nowNs) {
        boolean pollAgain = true;
        while (pollAgain) {
            pollAgain = switch (queue.admission.poll(toMillis(nowNs), selector.utilisation(queue.name))) {
                case PollResult.Empty<RequestTask> empty -> false;
                case PollResult.Expired<RequestTask> expired -> {
                    expired.queuedRequest().request().refuse(expired.kind(), "no upstream had spare capacity in time");
                    yield true;
                }
                case PollResult.Ready<RequestTask> ready -> dispatch(queue, ready.queuedRequest(), nowNs);
            };
        }
    }

    private static boolean dispatch(TargetQueue queue, QueuedRequest<RequestTask> queuedRequest, long nowNs) {
        RequestTask task = queuedRequest.request();
        return switch (task.selectLink(nowNs)) {
            case LinkSelection.Saturated saturated -> false;
            case LinkSelection.None none -> {
                queue.admission.cancel(queuedRequest);
                task.refuse(none.kind(), "no upstream can accept the request now: " + none.reason());
                yield true;
            }
            case LinkSelection.Selected selected -> {
                task.setPriority(queuedRequest.withinShare() ? PRIORITY_WITHIN_SHARE : 0);
                queue.admission.onDispatched(queuedRequest, toMillis(nowNs));
                task.dispatchTo(selected.link(), nowNs);
                yield true;
            }
        };
    }

    private static AdmissionRequest admissionRequest(TargetQueue queue, RequestTask task, long nowNs) {
        Target target = task.context().target();
        double expectedMs = queue.firstByteLatency.valueMs(toMillis(nowNs));
        return new AdmissionRequest(task.context().workspace(), target.cost(), target.firstByteLimitMs(), expectedMs);
    }

    private static long toMillis(long nowNs) {
        return TimeUnit.NANOSECONDS.toMillis(nowNs);
    }
}
