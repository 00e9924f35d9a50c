package org.kingcuproad.experiment.routing;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.kingcuproad.policy.membership.RendezvousHash;
import org.kingcuproad.policy.routing.PromptPrefix;
import org.kingcuproad.policy.routing.RoutedUpstream;

/** How a baseline selects an upstream. */
sealed interface BaselineSelector {

    RoutedUpstream select(List<RoutedUpstream> candidates, PromptPrefix prefix, Map<String, Integer> reportedLoads);

    /** Uniformly at random. */
    final class Random implements BaselineSelector {

        private final SplittableRandom random;

        Random(long seed) {
            random = new SplittableRandom(seed);
        }

        @Override
        public RoutedUpstream select(
                List<RoutedUpstream> candidates, PromptPrefix prefix, Map<String, Integer> reportedLoads) {
            return candidates.get(random.nextInt(candidates.size()));
        }
    }

    /** In turn, from a start that differs between entries. */
    final class RoundRobin implements BaselineSelector {

        private int next;

        RoundRobin(long seed) {
            next = (int) Math.floorMod(seed, 1_000L);
        }

        @Override
        public RoutedUpstream select(
                List<RoutedUpstream> candidates, PromptPrefix prefix, Map<String, Integer> reportedLoads) {
            return candidates.get(next++ % candidates.size());
        }
    }

    /** The lowest reported load, without correction; ties go to a random one, so that entries do not agree on it. */
    final class LeastConnections implements BaselineSelector {

        private final SplittableRandom random;

        LeastConnections(long seed) {
            random = new SplittableRandom(seed);
        }

        @Override
        public RoutedUpstream select(
                List<RoutedUpstream> candidates, PromptPrefix prefix, Map<String, Integer> reportedLoads) {
            int lowest = candidates.stream()
                    .mapToInt(candidate -> reportedLoads.getOrDefault(candidate.name(), 0))
                    .min()
                    .orElseThrow();
            List<RoutedUpstream> tied = candidates.stream()
                    .filter(candidate -> reportedLoads.getOrDefault(candidate.name(), 0) == lowest)
                    .toList();
            return tied.get(random.nextInt(tied.size()));
        }
    }

    /** Rendezvous hashing of the first blocks of the prompt. */
    final class PrefixHash implements BaselineSelector {

        /** Every prompt of the workload shares at least this many blocks with its family. */
        private static final int HASHED_BLOCKS = 8;

        @Override
        public RoutedUpstream select(
                List<RoutedUpstream> candidates, PromptPrefix prefix, Map<String, Integer> reportedLoads) {
            String key = Long.toHexString(prefix.hash(Math.min(HASHED_BLOCKS, prefix.blocks()) - 1));
            String owner = RendezvousHash.owner(
                            key, candidates.stream().map(RoutedUpstream::name).toList())
                    .orElseThrow();
            return candidates.stream()
                    .filter(candidate -> candidate.name().equals(owner))
                    .findFirst()
                    .orElseThrow();
        }
    }
}
