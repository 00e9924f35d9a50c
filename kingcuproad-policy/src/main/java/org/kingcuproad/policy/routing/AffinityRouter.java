package org.kingcuproad.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** Routes by prefix affinity within a load bound, and otherwise by power of two choices. */
final class AffinityRouter implements UpstreamRouter {

    /**
     * Minimum matched fraction of the prompt; a shorter match saves little prefill work and would only unbalance the
     * load.
     */
    private static final double MIN_MATCH_RATIO = 0.25;

    /**
     * Leading blocks whose hash determines the home upstream of a prompt; 1 KiB distinguishes the instructions of most
     * applications.
     */
    private static final int HOME_BLOCKS = 4;

    /**
     * Home upstreams tried for one prompt. With a second one, the overflow of a popular prefix goes to the same
     * upstream at every entry.
     */
    private static final int HOME_CANDIDATES = 2;

    private static final long HOME_HASH_INCREMENT = 0x9e3779b97f4a7c15L;

    private final RouterSettings settings;
    private final String dataCentre;
    private final SplittableRandom random;
    private final PrefixTable prefixes;
    private final Map<String, UpstreamState> states = new HashMap<>();
    private final Map<String, GroupState> groups = new HashMap<>();
    private final List<@Nullable UpstreamState> slots = new ArrayList<>();

    AffinityRouter(RouterSettings settings, String dataCentre, long seed) {
        this.settings = settings;
        this.dataCentre = dataCentre;
        this.random = new SplittableRandom(seed);
        this.prefixes = new PrefixTable(settings.prefixTableEntries());
    }

    @Override
    public void update(Collection<RoutedUpstream> upstreams, long nowMs) {
        Set<String> names = new HashSet<>();
        upstreams.forEach(upstream -> names.add(upstream.name()));
        List<String> removedNames =
                states.keySet().stream().filter(name -> !names.contains(name)).toList();
        removedNames.forEach(this::remove);
        upstreams.forEach(upstream -> put(upstream, nowMs));
        groups.values().removeIf(group -> !group.hasMembers());
    }

    private void remove(String name) {
        UpstreamState state = states.remove(name);
        if (state != null) {
            state.setRemoved();
            group(state).removeMember(state);
            slots.set(state.slot(), null);
        }
    }

    private void put(RoutedUpstream upstream, long nowMs) {
        UpstreamState state = states.get(upstream.name());
        if (state != null && state.upstream().equals(upstream)) {
            return;
        }
        if (state != null && sameGroupAndDataCentre(state.upstream(), upstream)) {
            boolean available = state.available();
            group(state).makeUnavailable(state);
            state.setUpstream(upstream);
            if (available) {
                group(state).makeAvailable(state, nowMs);
            }
            return;
        }
        remove(upstream.name());
        UpstreamState added = new UpstreamState(upstream, freeSlot(), settings);
        slots.set(added.slot(), added);
        states.put(upstream.name(), added);
        group(added).addMember(added, nowMs);
    }

    private static boolean sameGroupAndDataCentre(RoutedUpstream first, RoutedUpstream second) {
        return first.group().equals(second.group()) && first.dataCentre().equals(second.dataCentre());
    }

    /** Returns a free slot. Prefixes of its previous owner may remain in the table; they cause at most a cache miss. */
    private int freeSlot() {
        int free = slots.indexOf(null);
        if (free >= 0) {
            return free;
        }
        slots.add(null);
        return slots.size() - 1;
    }

    private GroupState group(UpstreamState state) {
        return groups.computeIfAbsent(state.upstream().group(), name -> new GroupState(dataCentre, settings));
    }

    @Override
    public boolean onReport(String upstream, LoadReport report, long nowMs) {
        UpstreamState state = states.get(upstream);
        if (state == null || !state.accept(report, nowMs)) {
            return false;
        }
        GroupState group = group(state);
        if (state.leaving()) {
            group.makeUnavailable(state);
        } else {
            group.makeAvailable(state, nowMs);
        }
        group.onReport(state, nowMs);
        for (CacheEvent event : report.cacheEvents()) {
            if (event.evicted()) {
                prefixes.remove(event.prefixHash(), state.slot());
            } else {
                prefixes.put(event.prefixHash(), state.slot());
            }
        }
        return true;
    }

    @Override
    public RoutingDecision choose(RequestFeatures request, long nowMs) {
        GroupState group = groups.get(request.group());
        if (group == null || !group.hasMembers()) {
            return new RoutingDecision.None(NoChoiceReason.NO_UPSTREAM_IN_GROUP);
        }
        group.readmitDue(nowMs);
        if (group.available().isEmpty()) {
            return probe(group, request, nowMs);
        }
        Match match = longestMatch(group, request, nowMs);
        if (match != null) {
            return chosen(group, match.state(), ChoiceReason.PREFIX_AFFINITY, match.blocks(), nowMs);
        }
        CandidateSampler sampler = new CandidateSampler(group, request.excludedUpstreams(), random, settings, nowMs);
        UpstreamState home = home(group, request.prefix(), sampler);
        if (home != null) {
            return chosen(group, home, ChoiceReason.PREFIX_HOME, 0, nowMs);
        }
        UpstreamState local = sampler.betterOfTwo(group.local());
        if (local != null && sampler.withinBound(local)) {
            return chosen(group, local, ChoiceReason.BETTER_OF_TWO, 0, nowMs);
        }
        UpstreamState remote = sampler.betterOfTwo(group.available());
        UpstreamState best = sampler.better(local, remote);
        if (best == null) {
            return new RoutingDecision.None(sampler.noChoiceReason());
        }
        boolean isLocal = best.upstream().dataCentre().equals(dataCentre);
        return chosen(group, best, isLocal ? ChoiceReason.BETTER_OF_TWO : ChoiceReason.OTHER_DATA_CENTRE, 0, nowMs);
    }

    private RoutingDecision probe(GroupState group, RequestFeatures request, long nowMs) {
        UpstreamState state = group.probe(request.excludedUpstreams(), nowMs, settings.probeIntervalMs());
        if (state == null) {
            return new RoutingDecision.None(NoChoiceReason.NONE_AVAILABLE);
        }
        state.setProbing(true);
        return chosen(group, state, ChoiceReason.PROBE, 0, nowMs);
    }

    private RoutingDecision chosen(
            GroupState group, UpstreamState state, ChoiceReason reason, int matchedBlocks, long nowMs) {
        double load = group.load(state, nowMs);
        double expectedMs = state.firstTokenMs().freshness(nowMs) > 0
                ? state.firstTokenMs().value()
                : group.firstTokenMs().value();
        double overloadFactor = Math.max(1, (load + 1) / state.capacity());
        return new RoutingDecision.Chosen(
                state.upstream().name(), reason, load, matchedBlocks, expectedMs * overloadFactor);
    }

    private static @Nullable UpstreamState home(GroupState group, PromptPrefix prefix, CandidateSampler sampler) {
        if (prefix.blocks() == 0) {
            return null;
        }
        long hash = prefix.hash(Math.min(HOME_BLOCKS, prefix.blocks()) - 1);
        for (int home = 0; home < HOME_CANDIDATES; home++) {
            UpstreamState state = group.ring().home(hash + home * HOME_HASH_INCREMENT);
            if (state != null && sampler.eligibleForAffinity(state)) {
                return state;
            }
        }
        return null;
    }

    private @Nullable Match longestMatch(GroupState group, RequestFeatures request, long nowMs) {
        PromptPrefix prefix = request.prefix();
        CandidateSampler sampler = new CandidateSampler(group, request.excludedUpstreams(), random, settings, nowMs);
        int minBlocks = (int) Math.ceil(prefix.blocks() * MIN_MATCH_RATIO);
        for (int blocks = prefix.blocks(); blocks >= Math.max(1, minBlocks); blocks--) {
            UpstreamState best = null;
            for (int way = 0; way < PrefixTable.WAYS; way++) {
                int slot = prefixes.slot(prefix.hash(blocks - 1), way);
                UpstreamState state = slot < 0 || slot >= slots.size() ? null : slots.get(slot);
                if (state != null
                        && state.upstream().group().equals(request.group())
                        && sampler.eligibleForAffinity(state)) {
                    best = sampler.better(best, state);
                }
            }
            if (best != null) {
                return new Match(best, blocks);
            }
        }
        return null;
    }

    @Override
    public double utilisation(String group) {
        GroupState state = groups.get(group);
        return state == null ? 1 : state.utilisation();
    }

    @Override
    public void onDispatched(String upstream, PromptPrefix prefix, long nowMs) {
        UpstreamState state = states.get(upstream);
        if (state == null) {
            return;
        }
        state.dispatched(nowMs);
        group(state).refresh(state, nowMs);
        for (int block = 0; block < prefix.blocks(); block++) {
            prefixes.put(prefix.hash(block), state.slot());
        }
    }

    @Override
    public void onFirstToken(String upstream, double latencyMs, long nowMs) {
        UpstreamState state = states.get(upstream);
        if (state != null) {
            state.firstTokenMs().add(latencyMs, nowMs);
            group(state).firstTokenMs().add(latencyMs, nowMs);
        }
    }

    @Override
    public void onFinished(String upstream, Outcome outcome, double latencyMs, long nowMs) {
        UpstreamState state = states.get(upstream);
        if (state == null) {
            return;
        }
        state.finished(nowMs);
        GroupState group = group(state);
        group.refresh(state, nowMs);
        switch (outcome) {
            case SUCCEEDED -> succeeded(group, state, nowMs);
            case FAILED, STALLED -> failed(group, state, nowMs);
            case CANCELLED -> state.setProbing(false);
        }
    }

    private static void succeeded(GroupState group, UpstreamState state, long nowMs) {
        state.ejection().countSuccess(nowMs);
        if (state.probing() && state.ejection().ejected()) {
            group.readmit(state, nowMs);
        }
        state.setProbing(false);
    }

    private void failed(GroupState group, UpstreamState state, long nowMs) {
        boolean failedProbe = state.probing() && state.ejection().ejected();
        state.setProbing(false);
        if (state.ejection().countFailure(nowMs) || failedProbe) {
            group.eject(state, nowMs, random.nextDouble());
        }
    }

    @Override
    public void onFailure(String upstream, long nowMs) {
        UpstreamState state = states.get(upstream);
        if (state != null && !state.ejection().ejected()) {
            group(state).eject(state, nowMs, random.nextDouble());
        }
    }

    private record Match(UpstreamState state, int blocks) {}
}
