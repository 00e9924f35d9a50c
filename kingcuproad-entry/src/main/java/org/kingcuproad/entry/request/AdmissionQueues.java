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
 * The waiting requests of an entry, in one fair queue for each model and service. Owned by the event loop of the entry.
 */
final class AdmissionQueues {

    /** Engine priority of requests of workspaces that use less than their share. */
    private static final int PRIORITY_WITHIN_SHARE = 1;

    private final Map<String, TargetQueue> queues = new HashMap<>();
    private final Map<RequestTask, QueuedRequest<RequestTask>> tickets = new IdentityHashMap<>();
    private final UpstreamSelector selector;

    AdmissionQueues(UpstreamSelector selector) {
        this.selector = selector;
    }

    /**
     * Takes the workspaces, models and services of a document.
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
     * Queues a request, and dispatches it at once if it is its turn.
     *
     * @param task the request
     * @param nowNs the present time, in nanoseconds
     */
    void offer(RequestTask task, long nowNs) {
        String name = task.context().target().name();
        TargetQueue queue = queues.get(name);
        if (queue == null) {
            task.refuse(ErrorKind.NO_UPSTREAM, "nothing serves " + name);
            return;
        }
        switch (queue.admission.offer(task, features(queue, task, nowNs), millis(nowNs))) {
            case AdmissionDecision.Refused<RequestTask> refused -> task.refuse(refused.kind(), refused.detail());
            case AdmissionDecision.Queued<RequestTask> queued -> {
                tickets.put(task, queued.queuedRequest());
                pump(queue, nowNs);
            }
        }
    }

    /**
     * Takes note that a request ended, and dispatches those that its end makes room for.
     *
     * @param task the request
     * @param nowNs the present time, in nanoseconds
     */
    void ended(RequestTask task, long nowNs) {
        TargetQueue queue = queues.get(task.context().target().name());
        QueuedRequest<RequestTask> ticket = tickets.remove(task);
        if (queue == null || ticket == null) {
            return;
        }
        if (!queue.admission.cancel(ticket) && task.dispatched()) {
            queue.admission.onFinished(task.context().workspace());
        }
        pump(queue, nowNs);
    }

    /**
     * Takes note of the time from dispatch to the first byte of a response.
     *
     * @param task the request
     * @param latencyMs the time, in milliseconds
     * @param nowNs the present time, in nanoseconds
     */
    void firstByte(RequestTask task, double latencyMs, long nowNs) {
        TargetQueue queue = queues.get(task.context().target().name());
        if (queue != null) {
            queue.firstByte.add(latencyMs, millis(nowNs));
        }
    }

    /**
     * Dispatches waiting requests that upstreams have room for, and refuses those that became too late.
     *
     * @param nowNs the present time, in nanoseconds
     */
    void pumpAll(long nowNs) {
        queues.values().forEach(queue -> pump(queue, nowNs));
    }

    private void pump(TargetQueue queue, long nowNs) {
        boolean room = true;
        while (room) {
            room = switch (queue.admission.poll(millis(nowNs), selector.utilisation(queue.name))) {
                case PollResult.Empty<RequestTask> empty -> false;
                case PollResult.Expired<RequestTask> late -> {
                    late.queuedRequest().request().refuse(late.kind(), "no upstream had room in time");
                    yield true;
                }
                case PollResult.Ready<RequestTask> ready -> dispatch(queue, ready.queuedRequest(), nowNs);
            };
        }
    }

    private static boolean dispatch(TargetQueue queue, QueuedRequest<RequestTask> ticket, long nowNs) {
        RequestTask task = ticket.request();
        return switch (task.selectLink(nowNs)) {
            case LinkSelection.Saturated saturated -> false;
            case LinkSelection.None none -> {
                queue.admission.cancel(ticket);
                task.refuse(none.kind(), "no upstream can take the request now: " + none.reason());
                yield true;
            }
            case LinkSelection.Selected selected -> {
                task.setPriority(ticket.withinShare() ? PRIORITY_WITHIN_SHARE : 0);
                queue.admission.onDispatched(ticket, millis(nowNs));
                task.dispatchTo(selected.link(), nowNs);
                yield true;
            }
        };
    }

    private static AdmissionRequest features(TargetQueue queue, RequestTask task, long nowNs) {
        Target target = task.context().target();
        double expectedMs = queue.firstByte.valueMs(millis(nowNs));
        return new AdmissionRequest(task.context().workspace(), target.cost(), target.firstByteLimitMs(), expectedMs);
    }

    private static long millis(long nowNs) {
        return TimeUnit.NANOSECONDS.toMillis(nowNs);
    }
}
