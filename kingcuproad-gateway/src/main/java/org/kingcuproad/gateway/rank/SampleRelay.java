package org.kingcuproad.gateway.rank;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.policy.lockstep.ChoiceAccumulator;
import org.kingcuproad.policy.lockstep.ChoiceSample;

/** Sends choice samples on their way to rank 0: directly, or through agents that sum those of several ranks. */
final class SampleRelay {

    private final InetSocketAddress ownAddress;
    private final ExpertReader expertReader;
    private final Clock clock;
    private final BiConsumer<RankMessage, InetSocketAddress> output;
    private final ChoiceAccumulator collected = new ChoiceAccumulator();
    private List<InetSocketAddress> collectors = List.of();
    private long lastSampleMs = Long.MIN_VALUE / 2;

    SampleRelay(
            InetSocketAddress ownAddress,
            ExpertReader expertReader,
            Clock clock,
            BiConsumer<RankMessage, InetSocketAddress> output) {
        this.ownAddress = ownAddress;
        this.expertReader = expertReader;
        this.clock = clock;
        this.output = output;
    }

    /** Discards what belongs to an earlier formation of the group. */
    void reset() {
        collectors = List.of();
        collected.clear();
    }

    void setCollectors(List<InetSocketAddress> announced) {
        collectors = announced;
    }

    /** Adds the sample of another rank to the next sum. */
    void collect(ChoiceSample sample) {
        collected.add(sample);
    }

    /**
     * Samples the choices of the own rank if a sample is due, and sends what was collected meanwhile.
     *
     * @param coordinator the coordinator, if this is one of the coordinating ranks
     * @param coordinatorAddress address of the agent of rank 0, if it is known
     */
    void sampleIfDue(
            String group,
            int rank,
            long intervalMs,
            @Nullable MapCoordinator coordinator,
            @Nullable InetSocketAddress coordinatorAddress) {
        long nowMs = clock.steadyMs();
        if (nowMs - lastSampleMs < intervalMs
                || !expertReader.sample(sample -> onSample(group, rank, sample, coordinator, coordinatorAddress))) {
            return;
        }
        lastSampleMs = nowMs;
        if (rank != 0 && coordinatorAddress != null) {
            collected.pack().ifPresent(sum -> output.accept(new RankMessage.Choices(group, sum), coordinatorAddress));
        }
    }

    private void onSample(
            String group,
            int rank,
            ChoiceSample sample,
            @Nullable MapCoordinator coordinator,
            @Nullable InetSocketAddress coordinatorAddress) {
        if (rank == 0) {
            if (coordinator != null) {
                coordinator.onChoices(sample, clock.steadyMs());
            }
            return;
        }
        InetSocketAddress receiver =
                collectors.isEmpty() ? coordinatorAddress : collectors.get(rank % collectors.size());
        if (ownAddress.equals(receiver)) {
            collected.add(sample);
        } else if (receiver != null) {
            output.accept(new RankMessage.Choices(group, sample), receiver);
        }
    }
}
