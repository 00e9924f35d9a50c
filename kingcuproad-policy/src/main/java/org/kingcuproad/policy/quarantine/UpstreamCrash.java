package org.kingcuproad.policy.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A crash of an upstream, with the prompts of the requests that were lost there.
 *
 * @param upstream the process that crashed
 * @param atMs time of the crash on this process's steady clock, in milliseconds
 * @param prompts ids of the shared prompt parts of each lost request, in prompt order
 */
public record UpstreamCrash(Incarnation upstream, long atMs, Set<List<String>> prompts) {

    /**
     * One life of an upstream.
     *
     * @param upstreamId id of the upstream
     * @param startedMs start of the process, in Unix milliseconds
     */
    public record Incarnation(String upstreamId, long startedMs) {}

    /**
     * Creates a crash with a copy of the prompts.
     *
     * @param upstream the process that crashed
     * @param atMs time of the crash, in milliseconds
     * @param prompts prompts of the lost requests
     */
    public UpstreamCrash {
        prompts = Set.copyOf(prompts);
    }

    /**
     * Returns this crash with further lost requests.
     *
     * @param others prompts of the further requests
     * @return a crash with all prompts
     */
    public UpstreamCrash withPrompts(Set<List<String>> others) {
        Set<List<String>> all = new HashSet<>(prompts);
        all.addAll(others);
        return new UpstreamCrash(upstream, atMs, all);
    }
}
