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

/** Performs the map switches of one group, one at a time. Confined to the event loop of the entry. */
final class GroupMapSwitcher {

    /** Interval between attempts to record in the store that a map is in force, in milliseconds. */
    private static final long RECORD_RETRY_MS = 1_000;

    private final String group;
    private final List<String> upstreams;
    private final AgentLinks links;
    private final MapRepository repository;
    private final MapTargetSource targetSource;
    private final EventLoop eventLoop;
    private final LongSupplier clockMs;
    private @Nullable RunningSwitch runningSwitch;
    private @Nullable RunningSwitch unrecordedSwitch;
    private boolean storeWritePending;
    private long nextRecordMs;

    /**
     * Creates a switcher without a switch in progress.
     *
     * @param upstreams the upstreams of the group in the order of their ranks
     */
    GroupMapSwitcher(
            String group,
            List<String> upstreams,
            AgentLinks links,
            MapRepository repository,
            MapTargetSource targetSource,
            EventLoop eventLoop,
            LongSupplier clockMs) {
        this.group = group;
        this.upstreams = List.copyOf(upstreams);
        this.links = links;
        this.repository = repository;
        this.targetSource = targetSource;
        this.eventLoop = eventLoop;
        this.clockMs = clockMs;
    }

    List<String> upstreams() {
        return upstreams;
    }

    /** Returns whether no switch is in progress and no committed switch remains to be recorded. */
    boolean idle() {
        return runningSwitch == null && unrecordedSwitch == null && !storeWritePending;
    }

    /** Advances the switch in progress, or starts the next one if the lease is held and all ranks are connected. */
    void tick(OptionalLong fencingToken) {
        RunningSwitch current = runningSwitch;
        if (current != null) {
            if (fencingToken.isEmpty()) {
                current.abort("the lease was lost");
            }
            current.tick();
        } else if (unrecordedSwitch != null) {
            recordInForce(unrecordedSwitch);
        } else if (!storeWritePending && fencingToken.isPresent()) {
            List<AgentLink> ranks = upstreams.stream()
                    .map(links::connected)
                    .flatMap(Optional::stream)
                    .toList();
            if (ranks.size() == upstreams.size()) {
                targetSource.next(group).ifPresent(target -> writeTarget(target, fencingToken.getAsLong(), ranks));
            }
        }
    }

    private void writeTarget(MapTarget target, long fence, List<AgentLink> ranks) {
        storeWritePending = true;
        var unused = repository
                .writeTarget(group, fence, target)
                .exceptionally(failure -> new WriteResult.Unavailable(String.valueOf(failure.getMessage()), false))
                .thenAcceptAsync(
                        result -> {
                            storeWritePending = false;
                            onTargetWritten(target, fence, ranks, result);
                        },
                        eventLoop);
    }

    private void onTargetWritten(MapTarget target, long fence, List<AgentLink> ranks, WriteResult result) {
        switch (result) {
            case WriteResult.Written written -> {
                SwitchId id = new SwitchId(written.version(), target.switchStep());
                runningSwitch = new RunningSwitch(group, fence, id, target, ranks, clockMs, this::onFinished);
                runningSwitch.start();
            }
            case WriteResult.VersionConflict ignored ->
                targetSource.onSwitchFinished(
                        group, target, SwitchOutcome.refused("another coordinator has written the map object"));
            case WriteResult.Unavailable unavailable ->
                targetSource.onSwitchFinished(
                        group, target, SwitchOutcome.refused("the store is unavailable: " + unavailable.detail()));
        }
    }

    private void onFinished(CoordinatorEffect.Finished finished) {
        RunningSwitch finishedSwitch = runningSwitch;
        runningSwitch = null;
        if (finishedSwitch == null) {
            return;
        }
        StructuredLog.info(
                "map switch ended",
                Map.of(
                        "group", group,
                        "mapVersion", finishedSwitch.id().mapVersion(),
                        "switchStep", finishedSwitch.id().step(),
                        "committed", finished.committed(),
                        "reason", finished.reason()));
        if (finished.committed()) {
            unrecordedSwitch = finishedSwitch;
            nextRecordMs = clockMs.getAsLong();
        }
        targetSource.onSwitchFinished(
                group,
                finishedSwitch.target(),
                new SwitchOutcome(finishedSwitch.id().mapVersion(), finished.committed(), finished.reason()));
    }

    private void recordInForce(RunningSwitch finishedSwitch) {
        if (storeWritePending || clockMs.getAsLong() < nextRecordMs) {
            return;
        }
        storeWritePending = true;
        var unused = repository
                .recordInForce(group, finishedSwitch.id(), finishedSwitch.target())
                .exceptionally(failure -> new WriteResult.Unavailable(String.valueOf(failure.getMessage()), false))
                .thenAcceptAsync(this::onInForceRecorded, eventLoop);
    }

    private void onInForceRecorded(WriteResult result) {
        storeWritePending = false;
        if (result instanceof WriteResult.Written) {
            unrecordedSwitch = null;
        } else {
            nextRecordMs = clockMs.getAsLong() + RECORD_RETRY_MS;
        }
    }
}
