package org.kingcuproad.experiment.routing;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.kingcuproad.policy.routing.RouterSettings;
import org.kingcuproad.policy.routing.UpstreamRouter;

/** The policies that an experiment compares. */
public enum ExperimentPolicy {

    /** The routing and admission of the entries. */
    KINGCUPROAD,

    /** A random upstream for each request. */
    RANDOM,

    /** The upstreams in turn. */
    ROUND_ROBIN,

    /** The upstream with the lowest load in the last reports. */
    LEAST_CONNECTIONS,

    /** The upstream that a hash of the first blocks of the prompt selects. */
    PREFIX_HASH;

    /**
     * Finds a policy by its label.
     *
     * @param label the label
     * @return the policy, or empty if there is none of this label
     */
    public static Optional<ExperimentPolicy> ofLabel(String label) {
        return Arrays.stream(values())
                .filter(policy -> policy.label().equals(label))
                .findFirst();
    }

    /**
     * Returns the label used on the command line and in results.
     *
     * @return the label, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    UpstreamRouter createRouter(String dataCentre, long seed) {
        return switch (this) {
            case KINGCUPROAD -> UpstreamRouter.create(RouterSettings.defaults(), dataCentre, seed);
            case RANDOM -> new BaselineRouter(new BaselineSelector.Random(seed));
            case ROUND_ROBIN -> new BaselineRouter(new BaselineSelector.RoundRobin(seed));
            case LEAST_CONNECTIONS -> new BaselineRouter(new BaselineSelector.LeastConnections(seed));
            case PREFIX_HASH -> new BaselineRouter(new BaselineSelector.PrefixHash());
        };
    }

    boolean hasAdmission() {
        return this == KINGCUPROAD;
    }
}
