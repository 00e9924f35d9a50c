package org.kingcuproad.experiment.routing;

import java.util.HashSet;
import java.util.Set;
import org.kingcuproad.policy.routing.RequestFeatures;

/** A caller's request while one entry serves it. */
final class Call {

    private final Prompt prompt;
    private final long arrivalMicros;
    private final Set<String> failedUpstreams = new HashSet<>();
    private long firstTokenMicros = -1;
    private boolean urgent = true;

    Call(Prompt prompt, long arrivalMicros) {
        this.prompt = prompt;
        this.arrivalMicros = arrivalMicros;
    }

    Prompt prompt() {
        return prompt;
    }

    long arrivalMicros() {
        return arrivalMicros;
    }

    String workspace() {
        return SimulatedEntry.workspaceName(prompt.workspace());
    }

    boolean small() {
        return prompt.workspace() != 0;
    }

    RequestFeatures features() {
        return new RequestFeatures(Simulation.GROUP, prompt.prefix(), workspace(), failedUpstreams);
    }

    void addFailed(String upstream) {
        failedUpstreams.add(upstream);
    }

    int failures() {
        return failedUpstreams.size();
    }

    boolean urgent() {
        return urgent;
    }

    void setUrgent(boolean changed) {
        urgent = changed;
    }

    boolean answered() {
        return firstTokenMicros >= 0;
    }

    long firstTokenMicros() {
        return firstTokenMicros;
    }

    void setFirstTokenMicros(long micros) {
        firstTokenMicros = micros;
    }
}
