package org.kingcuproad.entry.coordinator;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.platform.WriteResult;
import org.kingcuproad.policy.mapswitch.CoordinatorEffect;
import org.kingcuproad.policy.mapswitch.SwitchId;
import org.kingcuproad.runtime.log.StructuredLog;

/** Switches the maps of one group, one after the other. Used on the event loop of the entry. */
final class GroupTask {

    /** Time between attempts to record a map that is in force, in milliseconds. */
    private static final long RECORD_RETRY_MS = 1_000;

    private final String group;
    private final List<String> upstreams;
    private final AgentLinks links;
    private final MapRecords records;
    private final MapPlanSource source;
    private final EventLoop eventLoop;
    private final LongSupplier clockMs;
    private @Nullable RunningSwitch running;
    private @Nullable RunningSwitch unrecorded;
    private boolean writing;
    private long recordAtMs;

    /**
     * Creates a task.
     *
     * @param upstreams the upstreams of the group in the order of their ranks
     */
    GroupTask(
            String group,
            List<String> upstreams,
            AgentLinks links,
            MapRecords records,
            MapPlanSource source,
            EventLoop eventLoop,
            LongSupplier clockMs) {
        this.group = group;
        this.upstreams = List.copyOf(upstreams);
        this.links = links;
        this.records = records;
        this.source = source;
        this.eventLoop = eventLoop;
        this.clockMs = clockMs;
    }

    List<String> upstreams() {
        return upstreams;
    }

    /** Tells whether nothing is under way or left to record. */
    boolean idle() {
        return running == null && unrecorded == null && !writing;
    }

    /** Goes on with a switch, or begins one if the lease is held and all ranks are connected. */
    void tick(OptionalLong token) {
        RunningSwitch current = running;
        if (current != null) {
            if (token.isEmpty()) {
                current.giveUp("the lease was lost");
            }
            current.tick();
        } else if (unrecorded != null) {
            record(unrecorded);
        } else if (!writing && token.isPresent()) {
            List<AgentLink> ranks = upstreams.stream()
                    .map(links::connected)
                    .flatMap(Optional::stream)
                    .toList();
            if (ranks.size() == upstreams.size()) {
                source.next(group).ifPresent(target -> propose(target, token.getAsLong(), ranks));
            }
        }
    }

    private void propose(MapTarget target, long fence, List<AgentLink> ranks) {
        writing = true;
        var unused = records.propose(group, fence, target)
                .exceptionally(failure -> new WriteResult.Unavailable(String.valueOf(failure.getMessage()), false))
                .thenAcceptAsync(
                        result -> {
                            writing = false;
                            onProposed(target, fence, ranks, result);
                        },
                        eventLoop);
    }

    private void onProposed(MapTarget target, long fence, List<AgentLink> ranks, WriteResult result) {
        switch (result) {
            case WriteResult.Written written -> {
                SwitchId id = new SwitchId(written.version(), target.switchStep());
                running = new RunningSwitch(group, fence, id, target, ranks, clockMs, this::onFinished);
                running.start();
            }
            case WriteResult.VersionConflict ignored ->
                source.finished(group, target, SwitchOutcome.refused("another coordinator has written the map object"));
            case WriteResult.Unavailable unavailable ->
                source.finished(
                        group, target, SwitchOutcome.refused("the store is unavailable: " + unavailable.detail()));
        }
    }

    private void onFinished(CoordinatorEffect.Finished finished) {
        RunningSwitch ended = running;
        running = null;
        if (ended == null) {
            return;
        }
        StructuredLog.info(
                "map switch ended",
                Map.of(
                        "group", group,
                        "mapVersion", ended.id().mapVersion(),
                        "switchStep", ended.id().step(),
                        "committed", finished.committed(),
                        "reason", finished.reason()));
        if (finished.committed()) {
            unrecorded = ended;
            recordAtMs = clockMs.getAsLong();
        }
        source.finished(
                group,
                ended.target(),
                new SwitchOutcome(ended.id().mapVersion(), finished.committed(), finished.reason()));
    }

    private void record(RunningSwitch ended) {
        if (writing || clockMs.getAsLong() < recordAtMs) {
            return;
        }
        writing = true;
        var unused = records.confirm(group, ended.id(), ended.target())
                .exceptionally(failure -> new WriteResult.Unavailable(String.valueOf(failure.getMessage()), false))
                .thenAcceptAsync(this::onRecorded, eventLoop);
    }

    private void onRecorded(WriteResult result) {
        writing = false;
        if (result instanceof WriteResult.Written) {
            unrecorded = null;
        } else {
            recordAtMs = clockMs.getAsLong() + RECORD_RETRY_MS;
        }
    }
}
