package org.kingcuproad.entry.request;

import org.kingcuproad.policy.admission.FairAdmissionQueue;
import org.kingcuproad.policy.admission.LatencyQuantile;

/** The admission queue of one model or service, with an estimate of the time to its first bytes. */
final class TargetQueue {

    private static final int MAX_QUEUED = 10_000;
    private static final double MIN_FIRST_BYTE_MS = 1;

    final String name;
    final FairAdmissionQueue<RequestTask> admission = new FairAdmissionQueue<>(MAX_QUEUED);
    final LatencyQuantile firstByteLatency = new LatencyQuantile(MIN_FIRST_BYTE_MS);

    TargetQueue(String name) {
        this.name = name;
    }
}
