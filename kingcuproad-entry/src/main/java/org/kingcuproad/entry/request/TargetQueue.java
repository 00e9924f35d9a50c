package org.kingcuproad.entry.request;

import org.kingcuproad.policy.admission.FairAdmissionQueue;
import org.kingcuproad.policy.admission.LatencyQuantile;

/** The waiting requests of one model or service, and how long its first bytes take. */
final class TargetQueue {

    private static final int MAX_QUEUED = 10_000;
    private static final double MIN_FIRST_BYTE_MS = 1;

    final String name;
    final FairAdmissionQueue<RequestTask> admission = new FairAdmissionQueue<>(MAX_QUEUED);
    final LatencyQuantile firstByte = new LatencyQuantile(MIN_FIRST_BYTE_MS);

    TargetQueue(String name) {
        this.name = name;
    }
}
